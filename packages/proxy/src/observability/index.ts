export * from './clock.js';
export * from './logger.js';
export * from './metrics.js';
export * from './tracing.js';
export * from './repeated-task.js';
