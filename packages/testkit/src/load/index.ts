export * from './caller-client.js';
export * from './load-generator.js';
