export * from './error-kind.js';
export * from './refusal.js';
