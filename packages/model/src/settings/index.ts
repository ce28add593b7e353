export * from './find-setting-line.js';
