export * from './platform-client.js';
export * from './session-options.js';
