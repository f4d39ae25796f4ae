/** Measures what control costs each node at rest, and what accepting a note costs over accounts. */

import { applyNote, Release } from '@tanagercart/release';
import { startCluster, submitAndWait } from './cluster.js';
import type { Cluster } from './cluster.js';
import { account, firstNote, noParts, note } from './notes.js';
import type { Figure, Report } from './report.js';

/** Sizes of the clusters and of the releases measured. */
const sizes = [8, 32, 128];
const accounts = [10, 1000, 11_000];

/** Virtual time over which traffic is counted, in milliseconds. */
const spanMs = 20_000;

/** Bytes a second that control may cost a node. */
const target = { kind: 'at-most', value: 10 * 1024 } as const;

/** Notes accepted for one figure of their cost. */
const acceptRounds = 200;

/** Runs the measurement. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const size of sizes) figures.push(...(await atRest(size, 10, seed)));
  for (const count of accounts.slice(1)) figures.push(...(await atRest(8, count, seed)));
  for (const count of accounts) figures.push(...acceptCost(count));
  return { bench: 'control', seed, figures };
}

/** Traffic and processor time for each node of a cluster in which nothing changes. */
async function atRest(size: number, count: number, seed: number): Promise<readonly Figure[]> {
  const c = await startCluster(size, seed);
  await submitAndWait(c, c.leader(), firstNote(count));
  await c.clock.advance(5000);
  c.net.sentBytes.clear();
  const messagesBefore = c.net.messages;
  const began = process.cpuUsage();
  await c.clock.advance(spanMs);
  const used = process.cpuUsage(began);
  const figures = describe(c, `${size} nodes, ${count} accounts`, {
    messages: c.net.messages - messagesBefore,
    cpuMs: (used.user + used.system) / 1000,
  });
  await c.stop();
  return figures;
}

function describe(
  c: Cluster,
  name: string,
  { messages, cpuMs }: { messages: number; cpuMs: number },
): readonly Figure[] {
  const seconds = spanMs / 1000;
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

/** Processor time to accept a note that changes one account, and to accept one that changes none. */
function acceptCost(count: number): readonly Figure[] {
  const before = applyNote(Release.empty(), firstNote(count))._unsafeUnwrap();
  const one = { ...noParts, clientAccounts: [account(0, 2)] };
  const cost = (changed: typeof one | undefined) => {
    let release = before;
    const began = process.cpuUsage();
    for (let i = 0; i < acceptRounds; i += 1) {
      const next = note(release.number + 1, changed ? { changed } : {});
      release = applyNote(release, next)._unsafeUnwrap();
    }
    const used = process.cpuUsage(began);
    return (used.user + used.system) / acceptRounds;
  };
  return [
    { name: `${count} accounts: accept a change of one account`, value: cost(one), unit: 'us' },
    { name: `${count} accounts: accept a note on models only`, value: cost(undefined), unit: 'us' },
  ];
}
