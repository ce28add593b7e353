/** Ports to the platform, a client for them, and the configuration log kept there. */
export type * from './ports/index.js';
export * from './client/index.js';
export * from './configuration/index.js';
