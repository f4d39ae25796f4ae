export * from './release.js';
export * from './note.js';
export * from './apply.js';
