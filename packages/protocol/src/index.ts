export * from './message.js';
export * from './transport.js';
export * from './frame.js';
export * from './tcp.js';
export * from './memory.js';
