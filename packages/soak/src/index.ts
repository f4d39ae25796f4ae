export * from './address.js';
export * from './fault.js';
export * from './program.js';
export * from './proxy.js';
