/** The domain model: error kinds, configuration rows, log positions, logged events and helpers for settings. */
export * from './errors/index.js';
export * from './configuration/index.js';
export * from './positions/index.js';
export * from './events/index.js';
export * from './settings/index.js';
