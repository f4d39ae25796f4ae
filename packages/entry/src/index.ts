export * from './door.js';
export * from './accountlimits.js';
export * from './inprogress.js';
export * from './callers.js';
export * from './operators.js';
export * from './chat.js';
export * from './writer.js';
export * from './stop.js';
