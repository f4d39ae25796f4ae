/**
 * Loopback addresses of one run. A program listens on its own address; everyone else reaches it at
 * its mesh address, where the proxy listens. Runs on one machine at the same time use other slots.
 */

/** Slots from 1 to this number. */
export const maxSlot = 250;

/** The address at which a program listens. */
export function listenAddress(slot: number, host: number): string {
  return `127.${slot}.0.${host}`;
}

/** The address at which others reach it. Addresses that belong to no run are left as they are. */
export function proxyAddress(own: string): string {
  const parts = own.split('.');
  const isOwn = parts.length === 4 && parts[0] === '127' && parts[1] !== '0' && parts[2] === '0';
  return isOwn ? `127.${parts[1]}.1.${parts[3]}` : own;
}
