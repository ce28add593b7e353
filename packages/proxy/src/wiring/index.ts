export * from './proxy.js';
export * from './container.js';
