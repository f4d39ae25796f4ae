/** Heap for each thing that a node keeps. */

import { SharedState } from '@tanagercart/state';
import type { Command } from '@tanagercart/state';
import {
  applyAll,
  nodesUp,
  ordersPlaced,
  quarantined,
  replicasUp,
  withAccounts,
} from './capacitystate.js';
import { DispatchFleet, generationRequest } from './dispatchfleet.js';
import type { Series } from './line.js';
import { heapBytesOf } from './meter.js';

/** Sizes measured. */
const accounts = [1000, 4000, 11_000];
const nodes = [400, 1200, 4000];
const replicas = [100, 300, 600];
const streams = [250, 500, 1000];
const quarantines = [250, 500, 1000];
const orders = [2000, 6000, 18_000];

/** Virtual time after which every stream has passed tokens on, in milliseconds. */
const streamingMs = 400;

/** Measures each. */
export async function heapSeries(seed: number): Promise<readonly Series[]> {
  const stateOf = (commands: (count: number) => readonly Command[]) => (count: number) =>
    applyAll(SharedState.create(), commands(count));
  return [
    await series('heap of accounts', 'accounts', accounts, withAccounts),
    await series('heap of nodes', 'nodes', nodes, stateOf(nodesUp)),
    await series('heap of replicas of 4 stages', 'replicas', replicas, stateOf(replicasUp)),
    await series('heap of open streams', 'streams', streams, (n) => streaming(n, seed)),
    await series('heap of quarantine', 'requests', quarantines, stateOf(quarantined)),
    await series('heap of orders', 'orders', orders, stateOf(ordersPlaced)),
  ];
}

async function series(
  name: string,
  per: string,
  sizes: readonly number[],
  make: (size: number) => unknown,
): Promise<Series> {
  const points = [];
  // The first run of each kind also pays for code that is compiled.
  for (const size of sizes) await heapBytesOf(() => make(size));
  for (const size of sizes) points.push({ size, value: await heapBytesOf(() => make(size)) });
  return { name, per, unit: 'B', points };
}

/** A fleet in which these many streams have passed tokens on and go on. */
async function streaming(count: number, seed: number): Promise<unknown> {
  const size = { nodes: 1, replicas: 1, slots: count };
  const fleet = DispatchFleet.create({ seed, ...size, crashes: () => false, bypassGates: true });
  const pieces = Array.from({ length: count }, (_, i) =>
    fleet.send(0, generationRequest(`stream ${i}`, { maxTokens: 100_000 })),
  );
  await fleet.clock.advance(streamingMs);
  return { fleet, pieces };
}
