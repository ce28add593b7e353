export * from './configuration-row.js';
export * from './configuration.js';
