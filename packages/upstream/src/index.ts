export * from './announcement.js';
export * from './engine.js';
export * from './service.js';
export * from './http.js';
export * from './placement.js';
