export * from './schema.js';
export * from './problem.js';
export * from './settings.js';
export * from './secret.js';
