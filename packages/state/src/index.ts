export * from './releases.js';
export * from './nodes.js';
export * from './upstreams.js';
export * from './orders.js';
export * from './quarantine.js';
export * from './command.js';
export * from './state.js';
export * from './proposer.js';
