export * from './node.js';
