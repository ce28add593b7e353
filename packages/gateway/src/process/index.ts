export * from './bind-address.js';
export * from './format-error.js';
export * from './listen-on-server.js';
export * from './listener-error-recorder.js';
export * from './process-supervisor.js';
export * from './read-repeatedly.js';
export * from './service-listeners.js';
export * from './signal-buffer.js';
