export * from './chain.js';
export * from './planner.js';
export * from './chooser.js';
