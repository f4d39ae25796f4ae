/**
 * Loopback addresses of the processes in a soak run. Each process listens at an address of its own,
 * and all others connect to its proxy address, where a `FaultProxy` listens and forwards to it.
 * Several runs can share a machine if each has its own slot, which is the second byte of its
 * addresses.
 */

/** Highest slot of a run; the lowest is 1. */
export const maxSlot = 250;

/** The address at which a process listens. `host` is the last byte of the address. */
export function listenAddress(slot: number, host: number): string {
  return `127.${slot}.0.${host}`;
}

/**
 * The address at which others reach the process that listens at `address`. An address outside the
 * listen addresses of soak runs is returned unchanged.
 */
export function proxyAddress(address: string): string {
  const parts = address.split('.');
  const isListening =
    parts.length === 4 && parts[0] === '127' && parts[1] !== '0' && parts[2] === '0';
  return isListening ? `127.${parts[1]}.1.${parts[3]}` : address;
}
