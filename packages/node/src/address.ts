/** Addresses of a node, as its settings give them. */

import type { NodeAddress } from '@tanagercart/protocol';
import type { Settings } from '@tanagercart/settings';

/** A host and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; an IPv6 host loses its brackets. */
export function hostPortOf(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/[[\]]/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** `address` with another port. */
export function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}

/** The addresses that a node tells the others, before its listeners are open. */
export function addressOf(settings: Settings): NodeAddress {
  const { id, dataCentre, peer, entry } = settings.node;
  return { id, dataCentre, peer, entry: `http://${entry}` };
}
