export * from './queue-load.js';
export * from './clamp-load.js';
export * from './queue-meter.js';
export * from './load-collector.js';
export * from './group-load.js';
export * from './group-admission.js';
export * from './return-schedule.js';
