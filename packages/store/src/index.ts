/** Ports to the platform, a client that implements them, and the configuration log stored there. */
export type * from './ports/index.js';
export * from './client/index.js';
export * from './configuration/index.js';
