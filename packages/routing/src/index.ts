export * from './bound.js';
export * from './chain.js';
export * from './chooser.js';
export * from './entries.js';
export * from './flow.js';
export * from './links.js';
export * from './planner.js';
export * from './shard.js';
