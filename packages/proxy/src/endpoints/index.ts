export type * from './endpoint-port.js';
export * from './endpoint-connection.js';
export * from './endpoint-pool.js';
export * from './instance-report.js';
