export * from './freshness.js';
