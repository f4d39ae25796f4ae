export * from './contract.js';
export * from './bucket.js';
export * from './keeper.js';
export * from './limiter.js';
export * from './keepers.js';
export * from './lengths.js';
