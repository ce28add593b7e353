export * from './fair-queue.js';
