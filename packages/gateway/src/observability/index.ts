export * from './instrumented-store.js';
export * from './event-log.js';
export * from './gateway-metrics.js';
export * from './memory-monitor.js';
export * from './output-errors.js';
