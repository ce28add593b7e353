export * from './operator-client.js';
export * from './apply-change.js';
