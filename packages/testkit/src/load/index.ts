export * from './caller.js';
export * from './load.js';
