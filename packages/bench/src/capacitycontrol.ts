/** Control traffic and processor time per node, by number of nodes, accounts and replicas. */

import { replicaCommands } from './capacitystate.js';
import { startCluster, submitAndWait } from './cluster.js';
import type { Cluster } from './cluster.js';
import type { Series } from './line.js';
import { processorTimeOf } from './meter.js';
import { firstNote, noParts, account, note } from './notes.js';

/** Measured sizes; the last of each is the planned one. */
const nodeCounts = [8, 32, 128, 400];
const accountCounts = [1000, 4000, 11_000];
const replicaCounts = [100, 300, 600];

/** Number of data centres of the plan. */
const dataCentreCount = 5;

/** Number of nodes of the clusters in which accounts or replicas are varied. */
const smallCluster = 8;

/** Virtual time over which traffic is counted, in milliseconds. */
const windowMs = 10_000;

/** Measures an idle cluster of each size. */
export async function controlSeries(seed: number): Promise<readonly Series[]> {
  const none = async () => undefined;
  const overNodes = [];
  for (const size of nodeCounts) overNodes.push(await measure(size, size, seed, none));
  const overAccounts = [];
  for (const size of accountCounts) {
    const fill = async (c: Cluster) => {
      await submitAndWait(c, c.leader(), firstNote(size));
    };
    overAccounts.push(await measure(size, smallCluster, seed, fill));
  }
  const overReplicas = [];
  for (const size of replicaCounts) {
    overReplicas.push(await measure(size, smallCluster, seed, (c) => proposePlan(c, size)));
  }
  return [
    ...seriesOf('nodes', overNodes, true),
    ...seriesOf('accounts', overAccounts, false),
    ...seriesOf('replicas', overReplicas, false),
  ];
}

/** Commits upstreams and replicas in one log entry, as the leader does. */
async function proposePlan(c: Cluster, count: number): Promise<void> {
  const command = { kind: 'batch', commands: replicaCommands(count) } as const;
  let done = false;
  const propose = async () => {
    await c.leader().proposer.propose(command, windowMs);
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
  const c = await startCluster(count, seed, dataCentreCount);
  const startBytes = Math.max(...c.net.sentBytes.values());
  await fill(c);
  await c.clock.advance(5000);
  c.net.sentBytes.clear();
  const before = c.net.messages;
  const cpu = await processorTimeOf(() => c.clock.advance(windowMs));
  const seconds = windowMs / 1000;
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

function seriesOf(per: string, all: readonly Measured[], includeStart: boolean): readonly Series[] {
  const of = (name: string, unit: string, value: (m: Measured) => number): Series => ({
    name,
    per,
    unit,
    points: all.map((m) => ({ size: m.size, value: value(m) })),
  });
  const common = [
    of('control sent by the busiest node', 'B/s', (m) => m.busiestBytes),
    of('control sent by a node, mean', 'B/s', (m) => m.meanBytes),
    of('control messages sent by a node, mean', '1/s', (m) => m.meanMessages),
    of('processor time of control, a node a second', 'us', (m) => m.processorTime),
    of('a note from submit to in force', 'ms', (m) => m.noteMs),
  ];
  if (!includeStart) return common;
  return [
    ...common,
    of('all nodes start at once: until all serve', 'ms', (m) => m.upMs),
    of('the same, sent in 8 s by the busiest node', 'B', (m) => m.startBytes),
  ];
}
