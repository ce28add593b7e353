export * from './listeners.js';
export * from './caller-server.js';
export * from './health.js';
