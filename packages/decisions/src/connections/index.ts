export * from './connection-allowance.js';
export * from './transaction-reservation.js';
