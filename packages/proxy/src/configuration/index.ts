export * from './change-codec.js';
export * from './configuration-replica.js';
