export * from './database-instance.js';
export * from './database-group.js';
export * from './endpoint-server.js';
export * from './platform-server.js';
export * from './random.js';
export * from './deployment.js';
