export type * from './statement.js';
export type * from './outcome.js';
export type * from './run-result.js';
export type * from './forward-request.js';
