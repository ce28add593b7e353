export * from './session-token.js';
