export * from './command.js';
export * from './state.js';
export * from './proposer.js';
