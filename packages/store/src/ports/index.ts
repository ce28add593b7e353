export type * from './table.js';
export type * from './object-store.js';
export type * from './vm-list.js';
