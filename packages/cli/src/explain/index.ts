export * from './log-line.js';
export * from './explain-request.js';
