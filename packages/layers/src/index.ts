export * from './stage.js';
export * from './cost.js';
export * from './link.js';
export * from './path.js';
export * from './plan.js';
export * from './prediction.js';
