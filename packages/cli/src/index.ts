export * from './main.js';
export * from './demo.js';
export * from './demoplan.js';
export * from './files.js';
