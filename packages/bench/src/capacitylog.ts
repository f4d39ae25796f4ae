/** Sizes and times of log records and snapshots, on the machine's disk. */

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SeededRandom, silentLogger } from '@tanagercart/base';
import { DiskStore, FileDisk } from '@tanagercart/log';
import { SharedState } from '@tanagercart/state';
import { stateWithAccounts } from './capacitystate.js';
import type { Point, Series } from './line.js';

/** Records per batch; a batch is written with one sync. */
const batchSizes = [1, 16, 256];
const rounds = 40;

/** Size of a command, in bytes. */
const commandBytes = 200;

const accountCounts = [1000, 4000, 11_000];

const noVoters = { voters: [], learners: [] };

/** Measures log records and snapshots. */
export async function logSeries(): Promise<readonly Series[]> {
  const folder = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const disk = (await FileDisk.create(folder))._unsafeUnwrap();
  const open = async () => {
    const random = SeededRandom.create(1);
    const opened = await DiskStore.open({ disk, random, logger: silentLogger });
    return opened._unsafeUnwrap();
  };
  const bytesOf = async (prefix: string) => {
    const names = (await disk.list())._unsafeUnwrap().filter((n) => n.startsWith(prefix));
    const files = await Promise.all(names.map((n) => disk.read(n)));
    return files.reduce((sum, f) => sum + f._unsafeUnwrap().length, 0);
  };
  const measured = [
    ...(await appendSeries(open, bytesOf)),
    ...(await snapshotSeries(open, bytesOf)),
  ];
  await rm(folder, { recursive: true });
  return measured;
}

type OpenStore = () => Promise<DiskStore>;
type BytesOf = (prefix: string) => Promise<number>;

async function appendSeries(open: OpenStore, bytesOf: BytesOf): Promise<readonly Series[]> {
  const store = await open();
  const bytes: Point[] = [];
  const times: Point[] = [];
  const cpu: Point[] = [];
  for (const size of batchSizes) {
    const before = await bytesOf('log-');
    const began = process.cpuUsage();
    const from = performance.now();
    for (let i = 0; i < rounds; i += 1) {
      const first = store.lastIndex + 1;
      const payload = { kind: 'command', bytes: new Uint8Array(commandBytes) } as const;
      const entries = Array.from({ length: size }, (_, n) => ({
        index: first + n,
        term: 1,
        payload,
      }));
      await store.append(entries);
    }
    const took = performance.now() - from;
    const { user, system } = process.cpuUsage(began);
    bytes.push({ size, value: ((await bytesOf('log-')) - before) / rounds });
    times.push({ size, value: (took * 1000) / rounds });
    cpu.push({ size, value: (user + system) / rounds });
  }
  const per = `records of ${commandBytes} B`;
  return [
    { name: 'log of a batch', per, unit: 'B', points: bytes },
    { name: 'synced append of a batch', per, unit: 'us', points: times },
    { name: 'processor time of an append', per, unit: 'us', points: cpu },
  ];
}

async function snapshotSeries(open: OpenStore, bytesOf: BytesOf): Promise<readonly Series[]> {
  const sizes: Point[] = [];
  const written: Point[] = [];
  const loaded: Point[] = [];
  for (const size of accountCounts) {
    const store = await open();
    const state = stateWithAccounts(size);
    const from = performance.now();
    const data = state.snapshot();
    const index = store.lastIndex + size;
    await store.saveSnapshot({ index, term: 1, config: noVoters, data }, index + 1);
    const done = performance.now();
    await open();
    SharedState.create().restore(1, data);
    written.push({ size, value: done - from });
    loaded.push({ size, value: performance.now() - done });
    sizes.push({ size, value: await bytesOf('snapshot-') });
  }
  return [
    { name: 'snapshot file', per: 'accounts', unit: 'B', points: sizes },
    { name: 'snapshot encoded and written', per: 'accounts', unit: 'ms', points: written },
    { name: 'snapshot loaded and restored', per: 'accounts', unit: 'ms', points: loaded },
  ];
}
