export * from './text.js';
export * from './announcer.js';
export * from './stage.js';
export * from './desk.js';
export * from './faults.js';
export * from './weights.js';
export * from './store.js';
export * from './slots.js';
