export * from './platform-client.js';
export * from './http2-session-options.js';
