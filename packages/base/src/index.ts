export * from './id.js';
export * from './clock.js';
export * from './random.js';
export * from './hash.js';
export * from './invariant.js';
export * from './log.js';
export * from './metrics.js';
export * from './latch.js';
