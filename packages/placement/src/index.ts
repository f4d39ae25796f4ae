export * from './options.js';
export * from './part.js';
export * from './missingparts.js';
export * from './survey.js';
export * from './withdrawnparts.js';
export * from './lease.js';
export * from './maintain.js';
