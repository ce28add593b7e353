export * from './connect-error.js';
export * from './caller-handlers.js';
export * from './caller-service.js';
export * from './peer-service.js';
export * from './operator-service.js';
