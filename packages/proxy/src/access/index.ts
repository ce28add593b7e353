export * from './caller-authenticator.js';
