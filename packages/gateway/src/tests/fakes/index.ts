/** Fake database group and fake store, for tests of other packages. */
export * from './fake-database.js';
export * from './fake-store.js';
