/**
 * Preloaded into each process of a soak run, before the program's own code. It redirects outgoing
 * connections to proxy addresses, and injects clock and disk faults as stated in the JSON file
 * named by `SOAK_CONTROL`. `SOAK_ADDRESS` is the process's own listen address.
 */

import fs from 'node:fs';
import { syncBuiltinESMExports } from 'node:module';
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { proxyAddress } from './address.js';

/** Faults inside a process: the contents of the control file. */
export interface ProcessFaults {
  /** Offset of the wall clock, in milliseconds. */
  readonly clockMs: number;
  /** Additional time of each file sync, in milliseconds. */
  readonly syncMs: number;
  /** Whether writes to files fail for lack of space. */
  readonly full: boolean;
  /** Addresses to which connections cannot be opened, and what becomes of the attempts. */
  readonly unreachable?:
    { readonly addresses: readonly string[]; readonly how: 'hang' | 'refuse' } | undefined;
  /** Addresses that accept no connection at present; attempts go on once they do. */
  readonly unaccepting?: readonly string[];
}

/** Interval at which the control file is read, and held connections are tried, in milliseconds. */
const pollMs = 50;

const path = process.env.SOAK_CONTROL ?? '';
const ownAddress = process.env.SOAK_ADDRESS ?? '';
let faults: ProcessFaults = { clockMs: 0, syncMs: 0, full: false };

function readFaults(): void {
  try {
    // The read is synchronous so that a process resumed after a pause does not run other code
    // with the faults from before the pause.
    // eslint-disable-next-line n/no-sync
    faults = JSON.parse(fs.readFileSync(path, 'utf8')) as ProcessFaults;
  } catch {
    // The file is not readable at the moment; the next poll reads it again.
  }
}

readFaults();
setInterval(readFaults, pollMs).unref();

const dateNow = Date.now;
Date.now = () => dateNow() + faults.clockMs;

/** A port at which nothing listens. */
const closedPort = 1;

interface ConnectTarget {
  host?: string;
  port?: number;
  localAddress?: string;
}

const { connect } = net.Socket.prototype as { connect: (...args: never[]) => net.Socket };
net.Socket.prototype.connect = function connectThroughProxy(
  this: net.Socket & { connecting: boolean },
  ...args: unknown[]
) {
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as ConnectTarget;
  const { unreachable, unaccepting } = faults;
  if (unaccepting?.includes(options.host ?? '')) {
    this.connecting = true;
    const retry = () => {
      if (!this.destroyed) this.connect(...(args as [never]));
    };
    setTimeout(retry, pollMs).unref();
    return this;
  }
  if (unreachable?.addresses.includes(options.host ?? '')) {
    if (unreachable.how === 'hang') {
      this.connecting = true;
      return this;
    }
    options.port = closedPort;
  }
  const proxied = proxyAddress(options.host ?? '');
  if (proxied !== options.host) {
    options.host = proxied;
    options.localAddress = ownAddress;
  }
  return connect.apply(this, args as never);
};

const handle = await fs.promises.open(process.execPath, 'r');
const fileHandle = Object.getPrototypeOf(handle) as {
  sync: () => Promise<void>;
  write: (...args: unknown[]) => Promise<unknown>;
};
await handle.close();
const { sync, write } = fileHandle;
fileHandle.sync = async function syncWithDelay() {
  if (faults.syncMs > 0) await sleep(faults.syncMs);
  return sync.call(this);
};
fileHandle.write = async function writeUnlessFull(...args: unknown[]) {
  if (faults.full) throw new Error('ENOSPC: no space left on device');
  return write.apply(this, args);
};
syncBuiltinESMExports();
