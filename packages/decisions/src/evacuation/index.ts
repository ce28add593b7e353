export * from './cold-schedule.js';
export * from './evacuation-bound.js';
export * from './hand-over-order.js';
export * from './return-steps.js';
