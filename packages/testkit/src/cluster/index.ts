export * from './link.js';
export * from './vm-process.js';
export * from './cluster.js';
