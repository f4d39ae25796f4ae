export * from './lease.js';
export * from './history.js';
export * from './feed.js';
export * from './follow.js';
export * from './registrar.js';
export * from './owner.js';
export * from './progress.js';
export * from './upstreams.js';
