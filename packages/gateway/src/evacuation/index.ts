export * from './evacuation-registry.js';
export * from './evacuation-report.js';
export * from './instance-guard.js';
export * from './evacuation-monitor.js';
