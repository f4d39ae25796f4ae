/** Measures what permits for upstreams with a limit cost: processor time, and bytes of the news. */

import {
  NodeId,
  RequestId,
  StatsdMetrics,
  SystemClock,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import { NamedLimits, Pacer } from '@tanagercart/pacing';
import type { Millis } from '@tanagercart/base';
import type { UpstreamIncarnation } from '@tanagercart/protocol';
import { TcpTransport, encode } from '@tanagercart/protocol';
import type { Report } from './report.js';

/** Permits for each measurement. */
const permits = 4000;

/** Repetitions; the minimum counts, since other work on the machine only adds time. */
const rounds = 5;

/** A limit that never holds a request up, so that only the work counts. */
const perSecond = 1e9;

/** Numbers of upstreams with a limit for which the news is measured. */
const limitCounts = [1, 100, 400] as const;

/** Longest wait for a permit. */
const maxWaitMs: Millis = 10;

const upstream: UpstreamIncarnation = { id: UpstreamId('i-0123456789'), born: 1_785_000_000_000 };

const host = '127.0.0.1';

/** Two entries with one connection; the second gives the permits. */
async function startPair(): Promise<{
  readonly pacer: Pacer;
  readonly close: () => Promise<void>;
}> {
  const [self, owner] = [NodeId('self'), NodeId('owner')];
  const ports = new Map<NodeId, number>();
  const clock = SystemClock.create();
  const logger = silentLogger;
  const transports: TcpTransport[] = [];
  const start = async (node: NodeId) => {
    const transport = TcpTransport.create({
      self: node,
      cluster: 'bench',
      resolve: (peer) => `${host}:${ports.get(peer)}`,
      clock,
      logger,
      onBroken: (error) => {
        throw error;
      },
    });
    transports.push(transport);
    ports.set(node, (await transport.listen(host, 0))._unsafeUnwrap());
    const metrics = StatsdMetrics.create();
    return Pacer.create({ self: node, clock, transport, logger, metrics, nodes: () => [owner] });
  };
  await start(owner);
  const pacer = await start(self);
  pacer.record(RequestId('r'), upstream, { kind: 'limited', perSecond });
  const close = async () => {
    await Promise.all(transports.map((t) => t.close()));
  };
  return { pacer, close };
}

/** Processor time of one permit, on both sides together, in microseconds. */
async function microsFor(pacer: Pacer): Promise<number> {
  const stop = new AbortController();
  const from = process.cpuUsage();
  for (let i = 0; i < permits; i += 1) await pacer.acquire(upstream, maxWaitMs, stop.signal);
  const { user, system } = process.cpuUsage(from);
  return (user + system) / permits;
}

/** Bytes of the notices of `count` limits in a bulletin. */
function bytesOf(count: number): number {
  const limits = NamedLimits.create(SystemClock.create(), silentLogger);
  for (let i = 0; i < count; i += 1) {
    const id = UpstreamId(`i-${String(i).padStart(10, '0')}`);
    limits.record({ upstream: id, born: upstream.born, perSecond: 9.5, ageMs: 0 }, {});
  }
  return encode(limits.notices).length;
}

/** Measures permits of another node over loopback, and the news of 1 to 400 limits. */
export async function run(seed: number): Promise<Report> {
  const { pacer, close } = await startPair();
  let best = Infinity;
  for (let i = 0; i < rounds; i += 1) best = Math.min(best, await microsFor(pacer));
  await close();
  return {
    bench: 'permits',
    seed,
    figures: [
      { name: 'processor time of a permit, both nodes', value: best, unit: 'us' },
      ...limitCounts.map((count) => ({
        name: `news of ${count} limits`,
        value: bytesOf(count),
        unit: 'B',
      })),
    ],
  };
}
