export * from './memory-budget.js';
export * from './socket-writer.js';
export * from './unread-output.js';
