export * from './decode-value.js';
export * from './socket-address.js';
export * from './value-codecs.js';
