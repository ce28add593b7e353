export * from './create-gateway.js';
