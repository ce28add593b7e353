export * from './settings.js';
export * from './load-settings.js';
export * from './settings-reference.js';
