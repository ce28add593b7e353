export * from './instance-view.js';
export * from './group-state.js';
export * from './read-router.js';
