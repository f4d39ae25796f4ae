/** Opens and closes HTTP listeners. */

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { hostPortOf, withPort } from './address.js';

/** Starts to listen at `host:port`; resolves with the address in use. */
export function listen(server: Server, address: string): Promise<Result<string, Error>> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve) => {
    server.once('error', (e) => resolve(err(e)));
    server.listen(port, host, () => {
      resolve(ok(withPort(address, (server.address() as AddressInfo).port)));
    });
  });
}

/** Takes no new connections and resolves once the open requests have ended. */
export function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
