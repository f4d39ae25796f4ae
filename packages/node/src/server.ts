/** Opens and closes HTTP servers. */

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseHostPort } from '@tanagercart/protocol';
import { withPort } from './address.js';

/**
 * Listens on `host:port` and resolves with the bound address, whose port differs from the given one
 * if that is 0.
 */
export function listen(server: Server, address: string): Promise<Result<string, Error>> {
  const { host, port } = parseHostPort(address);
  return new Promise((resolve) => {
    server.once('error', (e) => resolve(err(e)));
    server.listen(port, host, () => {
      resolve(ok(withPort(address, (server.address() as AddressInfo).port)));
    });
  });
}

/** Stops accepting connections and resolves once the requests in progress have ended. */
export function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
