export * from './options.js';
export * from './part.js';
export * from './need.js';
export * from './survey.js';
export * from './withdrawn.js';
export * from './tenure.js';
export * from './keep.js';
