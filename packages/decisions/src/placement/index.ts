export * from './region-map.js';
export * from './round-trip-tracker.js';
export * from './replica-lag-estimator.js';
export * from './instance-chooser.js';
export * from './forwarding-policy.js';
export * from './gateway-chooser.js';
export * from './gateway-opening.js';
