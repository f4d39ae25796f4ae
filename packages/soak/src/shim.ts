/**
 * Loaded into each program before its own code. Connections go to mesh addresses, and the file
 * named by `SOAK_CONTROL` says how far the time of day is off and what the disk does.
 */

import fs from 'node:fs';
import { syncBuiltinESMExports } from 'node:module';
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { proxyAddress } from './address.js';

/** What the file says. */
export interface ProcessFaults {
  readonly clockMs: number;
  readonly syncMs: number;
  readonly full: boolean;
}

/** How often the file is read, in milliseconds. */
const readMs = 50;

const path = process.env.SOAK_CONTROL ?? '';
const self = process.env.SOAK_ADDRESS ?? '';
let control: ProcessFaults = { clockMs: 0, syncMs: 0, full: false };

function readControl(): void {
  try {
    // A program that stood still must not work with what was in force before.
    // eslint-disable-next-line n/no-sync
    control = JSON.parse(fs.readFileSync(path, 'utf8')) as ProcessFaults;
  } catch {
    // The file is being written; the next look finds it whole.
  }
}

readControl();
setInterval(readControl, readMs).unref();

const dateNow = Date.now;
Date.now = () => dateNow() + control.clockMs;

interface Dial {
  host?: string;
  localAddress?: string;
}

const { connect } = net.Socket.prototype;
net.Socket.prototype.connect = function dial(this: net.Socket, ...args: unknown[]) {
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as Dial;
  const mesh = proxyAddress(options.host ?? '');
  if (mesh !== options.host) {
    options.host = mesh;
    options.localAddress = self;
  }
  return connect.apply(this, args as never);
};

const handle = await fs.promises.open(process.execPath, 'r');
const files = Object.getPrototypeOf(handle) as {
  sync: () => Promise<void>;
  write: (...args: unknown[]) => Promise<unknown>;
};
await handle.close();
const { sync, write } = files;
files.sync = async function syncLate() {
  if (control.syncMs > 0) await sleep(control.syncMs);
  return sync.call(this);
};
files.write = async function writeOrRefuse(...args: unknown[]) {
  if (control.full) throw new Error('ENOSPC: no space left on device');
  return write.apply(this, args);
};
syncBuiltinESMExports();
