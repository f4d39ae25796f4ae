/** Heap usage of each kind of object that a node keeps. */

import { SharedState } from '@tanagercart/state';
import type { Command } from '@tanagercart/state';
import {
  applyCommands,
  nodeCommands,
  orderCommands,
  quarantineCommands,
  replicaCommands,
  stateWithAccounts,
} from './capacitystate.js';
import { DispatchFleet, generationRequest } from './dispatchfleet.js';
import type { Series } from './line.js';
import { heapBytesOf } from './meter.js';

/** Measured sizes. */
const accountCounts = [1000, 4000, 11_000];
const nodeCounts = [400, 1200, 4000];
const replicaCounts = [100, 300, 600];
const streamCounts = [250, 500, 1000];
const quarantineCounts = [250, 500, 1000];
const orderCounts = [2000, 6000, 18_000];

/** Virtual time after which every stream has relayed tokens, in milliseconds. */
const streamingMs = 400;

/** Measures the heap of each kind of object. */
export async function heapSeries(seed: number): Promise<readonly Series[]> {
  const stateOf = (commands: (count: number) => readonly Command[]) => (count: number) =>
    applyCommands(SharedState.create(), commands(count));
  return [
    await series('heap of accounts', 'accounts', accountCounts, stateWithAccounts),
    await series('heap of nodes', 'nodes', nodeCounts, stateOf(nodeCommands)),
    await series(
      'heap of replicas of 4 stages',
      'replicas',
      replicaCounts,
      stateOf(replicaCommands),
    ),
    await series('heap of open streams', 'streams', streamCounts, (n) => openStreams(n, seed)),
    await series('heap of quarantine', 'requests', quarantineCounts, stateOf(quarantineCommands)),
    await series('heap of orders', 'orders', orderCounts, stateOf(orderCommands)),
  ];
}

async function series(
  name: string,
  per: string,
  sizes: readonly number[],
  make: (size: number) => unknown,
): Promise<Series> {
  const points = [];
  // The first run of each size also allocates compiled code, so it is not measured.
  for (const size of sizes) await heapBytesOf(() => make(size));
  for (const size of sizes) points.push({ size, value: await heapBytesOf(() => make(size)) });
  return { name, per, unit: 'B', points };
}

/** A fleet with this many open streams that have relayed tokens. */
async function openStreams(count: number, seed: number): Promise<unknown> {
  const size = { nodes: 1, replicas: 1, slots: count };
  const fleet = DispatchFleet.create({ seed, ...size, crashes: () => false, bypassGates: true });
  const pieces = Array.from({ length: count }, (_, i) =>
    fleet.send(0, generationRequest(`stream ${i}`, { maxTokens: 100_000 })),
  );
  await fleet.clock.advance(streamingMs);
  return { fleet, pieces };
}
