export * from './main.js';
export * from './demo.js';
export * from './demoplan.js';
export * from './files.js';
export * from './operator.js';
export * from './statustable.js';
export * from './restore.js';
