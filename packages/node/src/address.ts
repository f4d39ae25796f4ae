/** Parses the addresses of the settings and builds the address record of a node. */

import type { NodeAddress } from '@tanagercart/protocol';
import type { Settings } from '@tanagercart/settings';

/** A host and a port; the host of an IPv6 address has no brackets. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port` and removes the brackets around an IPv6 host. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/[[\]]/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Returns `address` with its port replaced by `port`. */
export function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}

/**
 * The addresses of a node as its settings give them. They are announced to the other nodes unless
 * its listeners, once open, report others.
 */
export function configuredAddress(settings: Settings): NodeAddress {
  const { id, dataCentre, peer, entry } = settings.node;
  return { id, dataCentre, peer, entry: `http://${entry}` };
}
