export * from './ratelimit.js';
export * from './namedlimits.js';
export * from './permitschedule.js';
export * from './permitserver.js';
export * from './pacer.js';
