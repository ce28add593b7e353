export * from './retry-table.js';
export * from './retry-budget.js';
export * from './backoff.js';
