export * from './model.js';
export * from './check.js';
export * from './table.js';
export * from './delta.js';
