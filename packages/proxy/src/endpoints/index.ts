export type * from './endpoint-port.js';
export * from './http-endpoint-connection.js';
export * from './endpoint-connection-pool.js';
export * from './instance-report.js';
