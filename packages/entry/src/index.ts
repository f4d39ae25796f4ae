export * from './asker.js';
export * from './callers.js';
export * from './chat.js';
export * from './door.js';
export * from './inprogress.js';
export * from './operators.js';
export * from './stop.js';
export * from './writer.js';
