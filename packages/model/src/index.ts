/** The domain model: error kinds, configuration rows, log positions, logged events, helpers for settings, and codecs of values from outside. */
export * from './errors/index.js';
export * from './configuration/index.js';
export * from './positions/index.js';
export * from './events/index.js';
export * from './settings/index.js';
export * from './values/index.js';
