export type * from './statement.js';
export type * from './outcome.js';
