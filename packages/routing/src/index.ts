export * from './chain.js';
export * from './planner.js';
