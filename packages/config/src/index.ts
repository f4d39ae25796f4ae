export * from './model.js';
export * from './check.js';
export * from './table.js';
export * from './delta.js';
export * from './warnings.js';
export * from './difference.js';
