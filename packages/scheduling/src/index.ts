export * from './owner.js';
