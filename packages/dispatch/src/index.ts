export * from './refusal.js';
export * from './assembly.js';
export * from './generate.js';
export * from './order.js';
