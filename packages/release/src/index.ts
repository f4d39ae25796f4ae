export * from './release.js';
export * from './note.js';
export * from './digest.js';
export * from './locate.js';
export * from './apply.js';
export * from './difference.js';
