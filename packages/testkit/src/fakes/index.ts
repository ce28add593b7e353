export * from './fake-instance.js';
export * from './fake-group.js';
export * from './fake-endpoint-server.js';
export * from './fake-platform.js';
export * from './seeded-random.js';
export * from './fake-deployment.js';
