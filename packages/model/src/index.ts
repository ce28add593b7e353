/** The words of the domain as types: error kinds, configuration rows and log positions. */
export * from './errors/index.js';
export * from './configuration/index.js';
export * from './positions/index.js';
export * from './events/index.js';
export * from './settings/index.js';
