export * from './follower-choice.js';
export * from './snapshot-source-chooser.js';
export * from './distribution-tree.js';
export * from './snapshot-transfer.js';
