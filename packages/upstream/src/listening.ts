/** Tells whether a process still listens at an address. */

import { connect } from 'node:net';

/** Timeout for a connection, in milliseconds. */
const connectTimeoutMs = 500;

/**
 * A connection that stays open for this long was accepted by a process; that of one that is being
 * killed is reset at once. In milliseconds.
 */
const settleMs = 20;

/** Whether something listens at the origin of a URL, which sees a connection without a request. */
export function isListening(origin: string): Promise<boolean> {
  const { hostname, port, protocol } = new URL(origin);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: port === '' ? defaultPort : Number(port) });
    const finish = (listens: boolean) => {
      socket.destroy();
      resolve(listens);
    };
    socket.setTimeout(connectTimeoutMs);
    socket.on('connect', () => socket.setTimeout(settleMs));
    socket.on('timeout', () => finish(!socket.connecting));
    socket.on('error', () => finish(false));
    socket.on('end', () => finish(false));
    socket.resume();
  });
}
