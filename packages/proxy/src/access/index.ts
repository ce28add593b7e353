export * from './access-gate.js';
