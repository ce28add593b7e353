export * from './change-codec.js';
export * from './configuration-keeper.js';
