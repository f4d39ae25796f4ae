/** Tells how the other side ended a connection, which Node does not do in all cases. */

import type { Socket } from 'node:net';

/**
 * `closed`: the other side ended what it sent. `reset`: the connection broke, and bytes may be
 * missing. `unknown`: nothing tells which of the two, as after an end of the own side.
 */
export type ConnectionEnd = 'closed' | 'reset' | 'unknown';

/** Code of the error of a write after the other side closed and reset a connection, in this order. */
const resetAfterClose = 'EPIPE';

const noBytes = Buffer.alloc(0);

const ends = new WeakMap<Socket, Promise<ConnectionEnd>>();

/**
 * Watches the end of a connection, for `connectionEnd`. Has to be called before the socket may
 * receive an end.
 */
export function watchConnectionEnd(socket: Socket): void {
  // The first listener, as those of Node replace `write` and end the own side.
  socket.prependOnceListener('end', () => ends.set(socket, findEnd(socket)));
}

/**
 * How a watched connection ended, once its socket has emitted `end`. A connection that broke before
 * that counts as reset.
 */
export function connectionEnd(socket: Socket): Promise<ConnectionEnd> {
  return ends.get(socket) ?? Promise.resolve('reset');
}

/**
 * Where a reset arrives together with the last bytes, libuv reports the bytes and then an ordinary
 * end, and reads no further. The error is still pending in the operating system, where a write meets
 * it, also one without bytes, of which the other side sees nothing.
 */
function findEnd(socket: Socket): Promise<ConnectionEnd> {
  if (!socket.writable) return Promise.resolve('unknown');
  return new Promise((resolve) => {
    if (socket.writableLength === 0) socket.write(noBytes, (error) => resolve(endAfter(error)));
    // A write that waits already fails in this turn of the event loop, or not at all.
    else setImmediate(() => resolve(endAfter(socket.errored)));
  });
}

function endAfter(error: NodeJS.ErrnoException | null | undefined): ConnectionEnd {
  return !error || error.code === resetAfterClose ? 'closed' : 'reset';
}
