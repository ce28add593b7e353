export * from './instance-status-reader.js';
export * from './position-surveyor.js';
export * from './promotion-watch.js';
