export * from './account-limiter.js';
