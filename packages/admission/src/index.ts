export * from './room.js';
export * from './demand.js';
export * from './share.js';
export * from './ceiling.js';
export * from './fairshares.js';
export * from './accounts.js';
export * from './returns.js';
export * from './admission.js';
