export type * from './adjustable-settings.js';
export type * from './clock.js';
export type * from './instance-connector.js';
export type * from './coordination-store.js';
export * from './store-version.js';
export type * from './promotion-service.js';
export type * from './caller-connection.js';
export type * from './peer-network.js';
