/** Addresses: of a node, and as host and port. */

import type { DataCentreId, NodeId } from '@tanagercart/base';

/** The addresses at which a node is reached, and its data centre. */
export interface NodeAddress {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
  /** `host:port` for calls of other nodes. */
  readonly peer: string;
  /** Base URL for callers. */
  readonly entry: string;
}

/** A host and a port; the host of an IPv6 address has no brackets. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Whether a node can listen at `port`. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port < 65_536;
}

/** Splits `host:port` and removes the brackets around an IPv6 host. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/[[\]]/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
