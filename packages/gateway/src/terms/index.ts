export * from './term-registry.js';
export * from './write-rates.js';
