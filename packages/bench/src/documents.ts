/** Measures what a large configuration costs voters and entries, by its number of routes. */

import { ServiceId } from '@tanagercart/base';
import {
  RouteId,
  RoutingTable,
  applyDelta,
  deltaOf,
  validateConfiguration,
} from '@tanagercart/config';
import type { Configuration, Route } from '@tanagercart/config';
import { compressDocument, decompressDocument, encode } from '@tanagercart/protocol';
import type { Figure, Report } from './report.js';

/** Numbers of routes for which a document is measured. */
const routeCounts = [40, 400, 1600] as const;

/** Numbers of entries that the leader replies to. */
const entryCounts = [68, 400] as const;

/** Repetitions; the minimum counts, since other work on the machine only adds time. */
const rounds = 15;

/** Bytes of a reply without a document: the bulletin of a fleet of 99 upstreams, about. */
const bulletinBytes = 12_000;

const service = ServiceId('pool');

function routeOf(index: number): Route {
  return {
    id: RouteId(`r-${((index * 7919) % 1e6).toString(36)}`),
    host: `h${index % 300}.example`,
    prefix: `/p${index}/`,
    kind: 'stream',
    timeoutMs: 20_000,
    latencyTargetMs: 500,
    maxEventGapMs: 250,
    priority: 1,
    shares: [{ service, weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
  };
}

function configurationOf(version: number, routes: number): Configuration {
  return {
    version,
    routes: Array.from({ length: routes }, (_, i) => routeOf(i)),
    services: [{ id: service, maxConnections: 100, engine: undefined }],
    accounts: undefined,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Least processor time of `work` over all rounds, in milliseconds. */
function cpuMsOf(work: () => unknown): number {
  let best = Infinity;
  for (let i = 0; i < rounds; i += 1) {
    const from = process.cpuUsage();
    work();
    const { user, system } = process.cpuUsage(from);
    best = Math.min(best, (user + system) / 1000);
  }
  return best;
}

/** What a document with `routes` routes costs after one with few routes. */
function figuresOf(routes: number): readonly Figure[] {
  const base = JSON.stringify(configurationOf(1, 20));
  const configuration = configurationOf(2, routes);
  const text = JSON.stringify(configuration);
  const delta = deltaOf(base, text);
  const packed = compressDocument({ kind: 'delta', version: 2, delta });
  const bulletin = new Uint8Array(bulletinBytes);
  const replyMs = (document: Uint8Array | undefined) =>
    cpuMsOf(() => {
      for (let i = 0; i < 100; i += 1) encode({ kind: 'update', index: i, document, bulletin });
    }) / 100;
  const perReplyMs = Math.max(0, replyMs(packed) - replyMs(undefined));
  const ms = (name: string, value: number): Figure => ({
    name: `${routes} routes: ${name}`,
    value,
    unit: 'ms',
  });
  return [
    { name: `${routes} routes: text`, value: text.length, unit: 'B' },
    { name: `${routes} routes: difference, packed`, value: packed.length, unit: 'B' },
    ms(
      'check of constraints, without the schema',
      cpuMsOf(() => validateConfiguration(JSON.parse(text) as Configuration)),
    ),
    ms(
      'difference, at the leader',
      cpuMsOf(() => deltaOf(base, text)),
    ),
    ms(
      'applying the difference, at each voter',
      cpuMsOf(() => applyDelta(base, delta)),
    ),
    ms(
      'packing, at the leader, for each base',
      cpuMsOf(() => compressDocument({ kind: 'delta', version: 2, delta: deltaOf(base, text) })),
    ),
    ms(
      'unpacking and indexing, at each entry, without the schema',
      cpuMsOf(() => {
        const update = decompressDocument(packed);
        if (update.kind === 'delta') applyDelta(base, delta);
        RoutingTable.create(JSON.parse(text) as Configuration);
      }),
    ),
    ...entryCounts.map((n) => ms(`encoding into replies to ${n} entries`, perReplyMs * n)),
  ];
}

/** Measures documents of 40 to 1,600 routes. */
export async function run(seed: number): Promise<Report> {
  return { bench: 'documents', seed, figures: routeCounts.flatMap(figuresOf) };
}
