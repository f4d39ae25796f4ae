/** What control sends and computes on each node, over nodes, accounts and replicas. */

import { replicasUp } from './capacitystate.js';
import { startCluster, submitAndWait } from './cluster.js';
import type { Cluster } from './cluster.js';
import type { Series } from './line.js';
import { processorTimeOf } from './meter.js';
import { firstNote, noParts, account, note } from './notes.js';

/** Sizes measured; the last of each is the planned one. */
const nodes = [8, 32, 128, 400];
const accounts = [1000, 4000, 11_000];
const replicas = [100, 300, 600];

/** Data centres of the plan. */
const centres = 5;

/** Nodes of the clusters in which something else is varied. */
const few = 8;

/** Virtual time over which traffic is counted, in milliseconds. */
const spanMs = 10_000;

/** Measures a cluster at rest at each size. */
export async function controlSeries(seed: number): Promise<readonly Series[]> {
  const none = async () => undefined;
  const overNodes = [];
  for (const size of nodes) overNodes.push(await measure(size, size, seed, none));
  const overAccounts = [];
  for (const size of accounts) {
    const fill = async (c: Cluster) => {
      await submitAndWait(c, c.leader(), firstNote(size));
    };
    overAccounts.push(await measure(size, few, seed, fill));
  }
  const overReplicas = [];
  for (const size of replicas) {
    overReplicas.push(await measure(size, few, seed, (c) => plan(c, size)));
  }
  return [
    ...seriesOf('nodes', overNodes, true),
    ...seriesOf('accounts', overAccounts, false),
    ...seriesOf('replicas', overReplicas, false),
  ];
}

/** Records upstreams and replicas as the leader does, in one entry of the log. */
async function plan(c: Cluster, count: number): Promise<void> {
  const command = { kind: 'batch', commands: replicasUp(count) } as const;
  let done = false;
  const propose = async () => {
    await c.leader().proposer.propose(command, spanMs);
    done = true;
  };
  void propose();
  while (!done) await c.clock.advance(5);
}

interface Measured {
  readonly size: number;
  readonly busiestBytes: number;
  readonly meanBytes: number;
  readonly meanMessages: number;
  readonly processorTime: number;
  readonly upMs: number;
  readonly startBytes: number;
  readonly noteMs: number;
}

async function measure(
  size: number,
  count: number,
  seed: number,
  fill: (c: Cluster) => Promise<void>,
): Promise<Measured> {
  const c = await startCluster(count, seed, centres);
  const startBytes = Math.max(...c.net.sentBytes.values());
  await fill(c);
  await c.clock.advance(5000);
  c.net.sentBytes.clear();
  const before = c.net.messages;
  const cpu = await processorTimeOf(() => c.clock.advance(spanMs));
  const seconds = spanMs / 1000;
  const sent = [...c.net.sentBytes.values()].map((b) => b / seconds);
  const messages = c.net.messages - before;
  const { number } = c.leader().history.state.release;
  const next = number === 0 ? firstNote(10) : note(number + 1, { changed: oneAccount() });
  const noteMs = await submitAndWait(c, c.members.at(-1)!, next);
  await c.stop();
  return {
    size,
    busiestBytes: Math.max(...sent),
    meanBytes: sent.reduce((a, b) => a + b, 0) / count,
    meanMessages: messages / seconds / count,
    processorTime: cpu / seconds / count,
    upMs: c.upMs,
    startBytes,
    noteMs,
  };
}

function oneAccount() {
  return { ...noParts, clientAccounts: [account(0, 2)] };
}

function seriesOf(per: string, all: readonly Measured[], start: boolean): readonly Series[] {
  const of = (name: string, unit: string, value: (m: Measured) => number): Series => ({
    name,
    per,
    unit,
    points: all.map((m) => ({ size: m.size, value: value(m) })),
  });
  const rest = [
    of('control sent by the busiest node', 'B/s', (m) => m.busiestBytes),
    of('control sent by a node, mean', 'B/s', (m) => m.meanBytes),
    of('control messages sent by a node, mean', '1/s', (m) => m.meanMessages),
    of('processor time of control, a node a second', 'us', (m) => m.processorTime),
    of('a note from submit to in force', 'ms', (m) => m.noteMs),
  ];
  if (!start) return rest;
  return [
    ...rest,
    of('all nodes start at once: until all serve', 'ms', (m) => m.upMs),
    of('the same, sent in 8 s by the busiest node', 'B', (m) => m.startBytes),
  ];
}
