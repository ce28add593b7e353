export * from './log-position.js';
