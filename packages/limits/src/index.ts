export * from './quota.js';
export * from './bucket.js';
export * from './quotaserver.js';
export * from './limiter.js';
export * from './owners.js';
export * from './lengths.js';
