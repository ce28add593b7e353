export * from './fair-queue.js';
export * from './wait-estimator.js';
