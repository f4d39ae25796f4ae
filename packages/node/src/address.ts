/** Builds the addresses of a node from its settings. */

import type { NodeAddress } from '@tanagercart/protocol';
import type { Settings } from '@tanagercart/settings';

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
