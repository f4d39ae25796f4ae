/** Measures the processor time of a request at the relay, with log lines and without. */

import { ok } from 'neverthrow';
import {
  BoundedSink,
  BunyanLogger,
  RequestId,
  PrometheusMetrics,
  SystemClock,
  silentLogger,
} from '@tanagercart/base';
import type { Logger } from '@tanagercart/base';
import type { Caller, Relay, UpstreamClient } from '@tanagercart/relay';
import { callOf, relayOf, upstreamOf, viewOf } from '@tanagercart/relay/test';
import type { Report } from './report.js';

const requests = 4000;

/** Requests before each measurement, so that the code has been compiled. */
const warmUpRequests = 2000;

/** Repetitions; the minimum counts, since other work on the machine only adds time. */
const rounds = 5;

const microsPerMilli = 1000;

const client: UpstreamClient = {
  send: async () =>
    ok({
      head: { status: 200, reason: 'OK', headers: [], closeDelimited: false },
      culprit: undefined,
      notices: {
        isLeaving: false,
        backOffMs: undefined,
        rateLimit: { kind: 'unlimited' },
        notRun: false,
      },
      body: bodyOf(),
    }),
  probe: () => Promise.resolve({ kind: 'waiting' }),
};

async function* bodyOf(): AsyncGenerator<Uint8Array> {
  yield Buffer.alloc(800);
}

function relayWith(logger: Logger): Relay {
  const clock = SystemClock.create();
  const view = viewOf(
    clock,
    ['u1', 'u2', 'u3'].map((id) => upstreamOf(id)),
  );
  return relayOf({ clock, client, view, logger, metrics: PrometheusMetrics.create() }).relay;
}

/** A caller that discards its answer. */
function caller(): Caller {
  return {
    disconnected: new AbortController().signal,
    start: () => undefined,
    write: () => Promise.resolve(),
    end: () => undefined,
    abort: () => undefined,
    refuse: () => undefined,
  };
}

/** Processor time of one request, in microseconds. */
async function microsFor(relay: Relay, count: number): Promise<number> {
  const from = process.cpuUsage();
  for (let i = 0; i < count; i += 1) {
    const call = { id: RequestId(`a${i}`), startedAt: performance.now() };
    await relay.serve(callOf('idempotent', call), caller());
  }
  const { user, system } = process.cpuUsage(from);
  return (user + system) / count;
}

async function minMicros(relay: Relay): Promise<number> {
  await microsFor(relay, warmUpRequests);
  let best = Infinity;
  for (let i = 0; i < rounds; i += 1) best = Math.min(best, await microsFor(relay, requests));
  return best;
}

/** Measures requests without log lines and at the limit of lines per second, and one line. */
export async function run(seed: number): Promise<Report> {
  let bytes = 0;
  const sink = BoundedSink.create({
    writableLength: 0,
    write: (text) => {
      bytes += text.length;
      return true;
    },
  });
  const without = await minMicros(relayWith(silentLogger));
  const logger = BunyanLogger.create('entry', 'info', sink);
  const atBound = await minMicros(relayWith(logger));
  const line = await microsOfLine(logger);
  const figure = (name: string, value: number, unit: string) => ({ name, value, unit });
  return {
    bench: 'logging',
    seed,
    figures: [
      figure('processor time of a request without lines', without, 'us'),
      figure('processor time of a request at the bound of lines', atBound, 'us'),
      figure('processor time of one line', line, 'us'),
      figure('bytes written', bytes, 'B'),
      figure('a request with both of its lines', (without + 2 * line) / microsPerMilli, 'ms'),
    ],
  };
}

async function microsOfLine(logger: Logger): Promise<number> {
  const fields = { request: 'a1', route: 'r', atMs: 1, attempt: 1, upstream: 'u1' };
  let best = Infinity;
  for (let round = 0; round < rounds; round += 1) {
    const from = process.cpuUsage();
    for (let i = 0; i < requests; i += 1) logger.info('relay: Sending.', fields);
    const { user, system } = process.cpuUsage(from);
    best = Math.min(best, (user + system) / requests);
  }
  return best;
}
