export * from './member-feed.js';
export * from './gateway-directory.js';
export * from './forwarding-client.js';
export * from './forwarding-server.js';
export * from './forwarding.js';
