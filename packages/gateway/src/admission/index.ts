export * from './load-messages.js';
export * from './latency-targets.js';
export * from './return-planner.js';
export * from './admission-gate.js';
