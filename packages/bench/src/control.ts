/**
 * Measures the control traffic and processor time of idle nodes, and the processor time to accept a
 * release note by number of accounts.
 */

import { applyNote, Release } from '@tanagercart/release';
import { startCluster, submitAndWait } from './cluster.js';
import type { Cluster } from './cluster.js';
import { account, firstNote, noParts, note } from './notes.js';
import type { Figure, Report } from './report.js';

/** Numbers of nodes and of accounts that are measured. */
const clusterSizes = [8, 32, 128];
const accountCounts = [10, 1000, 11_000];

/** Virtual time over which traffic is counted, in milliseconds. */
const windowMs = 20_000;

/** Control traffic that a node may send, in bytes per second. */
const target = { kind: 'at-most', value: 10 * 1024 } as const;

/** Release notes accepted per measurement. */
const acceptRounds = 200;

/** Runs the measurement. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const size of clusterSizes) figures.push(...(await idleCost(size, 10, seed)));
  for (const count of accountCounts.slice(1)) figures.push(...(await idleCost(8, count, seed)));
  for (const count of accountCounts) figures.push(...acceptCost(count));
  return { bench: 'control', seed, figures };
}

/** Traffic and processor time per node of a cluster in which nothing changes. */
async function idleCost(size: number, count: number, seed: number): Promise<readonly Figure[]> {
  const c = await startCluster(size, seed);
  await submitAndWait(c, c.leader(), firstNote(count));
  await c.clock.advance(5000);
  c.net.sentBytes.clear();
  const messagesBefore = c.net.messages;
  const cpuBefore = process.cpuUsage();
  await c.clock.advance(windowMs);
  const used = process.cpuUsage(cpuBefore);
  const figures = idleFigures(c, `${size} nodes, ${count} accounts`, {
    messages: c.net.messages - messagesBefore,
    cpuMs: (used.user + used.system) / 1000,
  });
  await c.stop();
  return figures;
}

function idleFigures(
  c: Cluster,
  name: string,
  { messages, cpuMs }: { messages: number; cpuMs: number },
): readonly Figure[] {
  const seconds = windowMs / 1000;
  const sent = c.members.map((m) => (c.net.sentBytes.get(m.id) ?? 0) / seconds);
  const mean = sent.reduce((a, b) => a + b, 0) / sent.length;
  const rate = messages / seconds / sent.length;
  const cpu = (cpuMs * 1000) / messages;
  return [
    { name: `${name}: sent by the busiest node`, value: Math.max(...sent), unit: 'B/s', target },
    { name: `${name}: sent by a node, mean`, value: mean, unit: 'B/s', target },
    { name: `${name}: messages sent by a node, mean`, value: rate, unit: '1/s' },
    { name: `${name}: processor time for a message`, value: cpu, unit: 'us' },
  ];
}

/** Processor time to accept a release note that changes one account, and one that changes none. */
function acceptCost(count: number): readonly Figure[] {
  const before = applyNote(Release.empty(), firstNote(count))._unsafeUnwrap();
  const one = { ...noParts, clientAccounts: [account(0, 2)] };
  const cpuTimeOf = (changed: typeof one | undefined) => {
    let release = before;
    const cpuBefore = process.cpuUsage();
    for (let i = 0; i < acceptRounds; i += 1) {
      const next = note(release.number + 1, changed ? { changed } : {});
      release = applyNote(release, next)._unsafeUnwrap();
    }
    const used = process.cpuUsage(cpuBefore);
    return (used.user + used.system) / acceptRounds;
  };
  return [
    {
      name: `${count} accounts: accept a change of one account`,
      value: cpuTimeOf(one),
      unit: 'us',
    },
    {
      name: `${count} accounts: accept a note on models only`,
      value: cpuTimeOf(undefined),
      unit: 'us',
    },
  ];
}
