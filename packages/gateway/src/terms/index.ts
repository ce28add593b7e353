export * from './term-registry.js';
