export * from './sheet-problem.js';
export * from './sheet-columns.js';
export * from './sheet-row.js';
export * from './parse-sheet.js';
export * from './plan-sheet.js';
