export * from './session-token-codec.js';
