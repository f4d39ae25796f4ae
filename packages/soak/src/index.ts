export * from './address.js';
export * from './fault.js';
export * from './mesh.js';
export * from './program.js';
