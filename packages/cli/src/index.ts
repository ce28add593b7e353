/** The operator's command line, and the parts it is made of. */
export * from './sheet/index.js';
export * from './operator/index.js';
