/** Sheets and the operator client of the command line. */
export * from './sheet/index.js';
export * from './operator/index.js';
