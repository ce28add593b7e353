export * from './decode-value.js';
export * from './socket-address.js';
export * from './timer-duration.js';
export * from './value-codecs.js';
export * from './own-value.js';
