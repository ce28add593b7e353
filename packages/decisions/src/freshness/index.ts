export * from './freshness-tracker.js';
export * from './position-history.js';
export * from './surveyed-position.js';
export * from './suspension-detector.js';
