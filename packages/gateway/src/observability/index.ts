export * from './counted-table.js';
export * from './decision-log.js';
export * from './gateway-metrics.js';
