export * from './batch.js';
export * from './forecast.js';
export * from './lengths.js';
export * from './owner.js';
export * from './queue.js';
