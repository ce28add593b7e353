/** Stand-ins of a group of instances and of the store, for tests of other packages. */
export * from './fake-database.js';
export * from './fake-store.js';
