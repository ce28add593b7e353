export * from './background-tasks.js';
export * from './contained-connector.js';
export * from './contained-network.js';
export * from './contained-promotion-service.js';
export * from './contained-store.js';
