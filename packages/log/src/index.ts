export * from './disk.js';
export * from './memorydisk.js';
export * from './store.js';
export * from './diskstore.js';
export * from './options.js';
export type { Role } from './core.js';
export type { Applied, ProposeError } from './applier.js';
export * from './raft.js';
export * from './cluster.js';
