export * from './operator-client.js';
export * from './change-applier.js';
