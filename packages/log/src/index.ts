export * from './store.js';
export * from './raft.js';
