export * from './event-catalogue.js';
export type * from './event-definition.js';
