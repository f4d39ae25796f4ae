export * from './text.js';
export * from './announcer.js';
export * from './engine.js';
export * from './desk.js';
export * from './faults.js';
export * from './holdings.js';
export * from './store.js';
export * from './slots.js';
