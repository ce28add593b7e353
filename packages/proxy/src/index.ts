/** Public interface of the proxy daemon, for programs that embed a proxy in their own process. */
export * from './settings/index.js';
export * from './wiring/index.js';
export * from './observability/index.js';
export * from './access/index.js';
export * from './sessions/index.js';
export * from './endpoints/index.js';
