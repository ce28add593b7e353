export * from './settings.js';
export * from './load-settings.js';
export * from './format-reference.js';
