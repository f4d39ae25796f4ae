/** The replicated log: recovery, catch-up, group commit, and the cost of records and snapshots. */

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { DiskStore, FileDisk, LogCluster, defaultLimits } from '@tanagercart/log';
import type { Disk, Limits, Store } from '@tanagercart/log';
import type { Figure, Report } from './report.js';

const voters = ['a', 'b', 'c', 'd', 'e'].map(NodeId);

/** Number of leader crashes. */
const leaderCrashes = 200;

/** Number of changes that the lagging voter misses. */
const missedChanges = 500;

/** Number of proposals for the measurement of group commit. */
const proposalCount = 400;

/** Virtual time of one sync, in milliseconds. */
const syncMs = 2;

/** Number of records written to measure the cost of one. */
const recordCount = 200;

const recordSizes = [100, 1000, 10_000];
const snapshotSizes = [100_000, 1_000_000, 10_000_000];

/** Runs the measurement. */
export async function run(seed: number): Promise<Report> {
  const figures = [
    ...(await recovery(seed)),
    ...(await catchUp(seed)),
    ...(await groupCommit(seed)),
    ...(await withDisk(recordCost)),
    ...(await withDisk(snapshotCost)),
  ];
  return { bench: 'log', seed, figures };
}

async function startLog(seed: number, nodes: readonly NodeId[], limits: Partial<Limits> = {}) {
  const cluster = LogCluster.create({ seed, nodes, initialVoters: nodes, limits, syncMs });
  await cluster.startAll();
  await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 10_000);
  return cluster;
}

/** Virtual time from the crash of a leader until the next command is accepted. */
async function recovery(seed: number): Promise<readonly Figure[]> {
  const times: number[] = [];
  for (let i = 0; i < leaderCrashes; i += 1) {
    const cluster = await startLog(seed * leaderCrashes + i, voters);
    cluster.crash(cluster.leaseHolder!);
    const elapsedMs = await cluster.advanceUntil(() => {
      if (cluster.leaseHolder) void cluster.propose(cluster.leaseHolder, 'x');
      return cluster.acknowledged.length > 0;
    }, 30_000);
    times.push(elapsedMs ?? Infinity);
  }
  times.sort((a, b) => a - b);
  const at = (share: number) => times[Math.ceil(times.length * share) - 1]!;
  const target = { kind: 'at-most', value: 2000 } as const;
  return [
    {
      name: `leader death to accepted command, median of ${leaderCrashes}`,
      value: at(0.5),
      unit: 'ms',
      target,
    },
    { name: 'the same, 99 in 100', value: at(0.99), unit: 'ms', target },
    { name: 'the same, longest', value: at(1), unit: 'ms', target },
  ];
}

/** Virtual time until a restarted voter has caught up, from the log and from a snapshot. */
async function catchUp(seed: number): Promise<readonly Figure[]> {
  const byLog = await catchUpOnce(seed, defaultLimits);
  const bySnapshot = await catchUpOnce(seed, { ...defaultLimits, snapshotEveryBytes: 10_000 });
  return [
    { name: `catch-up after ${missedChanges} changes, log only`, value: byLog, unit: 'ms' },
    { name: 'the same with snapshots', value: bySnapshot, unit: 'ms' },
  ];
}

async function catchUpOnce(seed: number, limits: Limits): Promise<number> {
  const cluster = await startLog(seed, voters, limits);
  const lagging = cluster.running.find((n) => n !== cluster.leaseHolder)!;
  cluster.crash(lagging);
  for (let i = 0; i < missedChanges; i += 1) {
    void cluster.propose(cluster.leaseHolder!, `change ${i}`);
    await cluster.advance(10);
  }
  await cluster.advance(500);
  void cluster.start(lagging);
  const elapsedMs = await cluster.advanceUntil(
    () => cluster.stateOf(lagging).length === missedChanges,
    60_000,
  );
  return elapsedMs ?? Infinity;
}

/** Throughput of concurrent proposals in virtual time, with batches per sync and without. */
async function groupCommit(seed: number): Promise<readonly Figure[]> {
  const batched = await throughput(seed, defaultLimits.batchEntries);
  const single = await throughput(seed, 1);
  return [
    {
      name: 'records a second with batches, of those one at a time',
      value: batched / single,
      unit: 'x',
    },
  ];
}

async function throughput(seed: number, batchEntries: number): Promise<number> {
  const cluster = await startLog(seed, voters.slice(0, 3), { batchEntries });
  for (let i = 0; i < proposalCount; i += 1) void cluster.propose(cluster.leaseHolder!, `x${i}`);
  const elapsedMs = await cluster.advanceUntil(
    () => cluster.acknowledged.length === proposalCount,
    60_000,
  );
  return proposalCount / ((elapsedMs ?? Infinity) / 1000);
}

async function withDisk(
  measure: (open: () => Promise<Store>, disk: Disk) => Promise<readonly Figure[]>,
): Promise<readonly Figure[]> {
  const folder = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const disk = (await FileDisk.create(folder))._unsafeUnwrap();
  const random = SeededRandom.create(1);
  const open = async () =>
    (await DiskStore.open({ disk, random, logger: silentLogger }))._unsafeUnwrap();
  const figures = await measure(open, disk);
  await rm(folder, { recursive: true });
  return figures;
}

/** Size and time of one synced record, on the machine's disk. */
async function recordCost(open: () => Promise<Store>, disk: Disk): Promise<readonly Figure[]> {
  const store = await open();
  const figures: Figure[] = [];
  for (const size of recordSizes) {
    const before = await bytesOf(disk, 'log-');
    const from = performance.now();
    for (let i = 0; i < recordCount; i += 1) {
      const payload = { kind: 'command', bytes: new Uint8Array(size) } as const;
      await store.append([{ index: store.lastIndex + 1, term: 1, payload }]);
    }
    const elapsedMs = performance.now() - from;
    const bytes = (await bytesOf(disk, 'log-')) - before;
    figures.push(
      { name: `log for a command of ${size} bytes`, value: bytes / recordCount, unit: 'bytes' },
      { name: `synced append of ${size} bytes`, value: elapsedMs / recordCount, unit: 'ms' },
    );
  }
  return figures;
}

/** Size, write time and load time of a snapshot, on the machine's disk. */
async function snapshotCost(open: () => Promise<Store>, disk: Disk): Promise<readonly Figure[]> {
  const config = { voters: [], learners: [] };
  const figures: Figure[] = [];
  for (const [i, size] of snapshotSizes.entries()) {
    const store = await open();
    const from = performance.now();
    await store.saveSnapshot({ index: i + 1, term: 1, config, data: new Uint8Array(size) }, i + 2);
    const written = performance.now();
    await open();
    const loaded = performance.now();
    figures.push(
      {
        name: `file of a state of ${size} bytes`,
        value: await bytesOf(disk, 'snapshot-'),
        unit: 'bytes',
      },
      { name: `snapshot of ${size} bytes, written`, value: written - from, unit: 'ms' },
      { name: `snapshot of ${size} bytes, loaded`, value: loaded - written, unit: 'ms' },
    );
  }
  return figures;
}

async function bytesOf(disk: Disk, prefix: string): Promise<number> {
  const names = (await disk.list())._unsafeUnwrap().filter((n) => n.startsWith(prefix));
  const sizes = await Promise.all(
    names.map(async (n) => (await disk.read(n))._unsafeUnwrap().length),
  );
  return sizes.reduce((a, b) => a + b, 0);
}
