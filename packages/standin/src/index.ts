export * from './text.js';
export * from './announcer.js';
export * from './engine.js';
export * from './desk.js';
