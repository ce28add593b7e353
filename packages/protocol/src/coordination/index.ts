export * from './forwarding-messages.js';
export * from './messages.js';
