export * from './settings.js';
export * from './load-settings.js';
