export * from './gateway.js';
export * from './session-entrance.js';
