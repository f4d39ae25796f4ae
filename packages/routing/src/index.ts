export * from './bound.js';
export * from './entryadvisor.js';
export * from './flow.js';
export * from './links.js';
export * from './ownerselector.js';
export * from './plan.js';
export * from './planner.js';
export * from './shard.js';
