export * from './memory-budget.js';
