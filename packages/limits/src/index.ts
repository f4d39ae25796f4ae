export * from './contract.js';
export * from './bucket.js';
export * from './keeper.js';
export * from './limiter.js';
