export * from './configuration-log.js';
