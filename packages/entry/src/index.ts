export * from './door.js';
export * from './callers.js';
export * from './operators.js';
export * from './chat.js';
