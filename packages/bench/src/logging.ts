/** Processor time of a request at the relay, with its log lines and without. */

import { ok } from 'neverthrow';
import {
  AccountId,
  BoundedSink,
  BunyanLogger,
  DataCentreId,
  RequestId,
  SeededRandom,
  ServedMetrics,
  ServiceId,
  SystemClock,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Logger } from '@tanagercart/base';
import { RouteId } from '@tanagercart/config';
import { FleetView } from '@tanagercart/fleet';
import { encode } from '@tanagercart/protocol';
import { Health, Loads, Relay, RetryBudget, Targets } from '@tanagercart/relay';
import type { Call, Caller, UpstreamClient } from '@tanagercart/relay';
import type { Report } from './report.js';

const requests = 4000;

/** Requests of each kind before the measurement: code is compiled by then. */
const warmUp = 2000;

/** Repetitions, of which the least counts, as other work only adds to it. */
const rounds = 5;

const microsPerMilli = 1000;
const desk = ServiceId('desk');
const north = DataCentreId('north');

const client: UpstreamClient = {
  send: async () =>
    ok({
      head: { status: 200, reason: 'OK', headers: [], untilClose: false },
      notRun: false,
      culprit: undefined,
      body: bodyOf(),
    }),
  lookInto: () => Promise.resolve({ kind: 'waiting' }),
};

async function* bodyOf(): AsyncGenerator<Uint8Array> {
  yield Buffer.alloc(800);
}

function relayWith(logger: Logger, seed: number): Relay {
  const clock = SystemClock.create();
  const random = SeededRandom.create(seed);
  const view = FleetView.create({ clock, logger: silentLogger, read: () => undefined });
  const upstreams = ['u1', 'u2', 'u3'].map((id) => ({
    id: UpstreamId(id),
    born: 1,
    service: desk,
    address: `${id}:1`,
    dataCentre: north,
    phase: 'ready' as const,
    slots: 6,
    accelerator: undefined,
    layers: undefined,
  }));
  const bulletin = encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [] });
  const update = { kind: 'update', index: 1, whole: true, document: undefined } as const;
  view.take({ ...update, upstreams, quarantined: [], bulletin }, clock.now(), []);
  const health = Health.create(clock);
  const loads = Loads.create();
  const isSuspected = () => false;
  const bounds = { ratio: 1, slack: 10, windowMs: 1000 };
  return Relay.create({
    clock,
    random,
    logger,
    client,
    targets: Targets.create({ view, health, loads, random, dataCentre: north, isSuspected }),
    health,
    loads,
    budget: RetryBudget.create(clock, bounds, () => 1),
    metrics: ServedMetrics.create(),
    quarantine: { isEmpty: () => true, has: () => false, strike: () => undefined },
  });
}

function callOf(id: string, now: number): Call {
  const service = { id: desk, maxConnections: 10, engine: undefined };
  return {
    id: RequestId(id),
    method: 'POST',
    path: '/desk/1',
    headers: [],
    body: Buffer.from('body'),
    route: {
      id: RouteId('r'),
      host: 'figs.example',
      prefix: '/desk/',
      kind: 'idempotent',
      timeoutMs: 1000,
      objectiveMs: 300,
      pauseMs: undefined,
      priority: 1,
      shares: [{ service: desk, weight: 1 }],
      maxAttempts: 2,
      open: false,
    },
    service,
    account: AccountId('quay'),
    priority: 1,
    work: undefined,
    lastEvent: undefined,
    startedAt: now,
    callerDeadline: undefined,
  };
}

function caller(): Caller {
  return {
    gone: new AbortController().signal,
    start: () => undefined,
    write: () => Promise.resolve(),
    end: () => undefined,
    breakOff: () => undefined,
    refuse: () => undefined,
  };
}

/** Processor time of one request, in microseconds. */
async function microsFor(relay: Relay, count: number): Promise<number> {
  const from = process.cpuUsage();
  for (let i = 0; i < count; i += 1) {
    await relay.serve(callOf(`a${i}`, performance.now()), caller());
  }
  const { user, system } = process.cpuUsage(from);
  return (user + system) / count;
}

async function least(relay: Relay): Promise<number> {
  await microsFor(relay, warmUp);
  let best = Infinity;
  for (let i = 0; i < rounds; i += 1) best = Math.min(best, await microsFor(relay, requests));
  return best;
}

/** Measures requests without lines, with all of their lines, and at the bound of lines a second. */
export async function run(seed: number): Promise<Report> {
  let bytes = 0;
  const sink = BoundedSink.create({
    writableLength: 0,
    write: (text) => {
      bytes += text.length;
      return true;
    },
  });
  const without = await least(relayWith(silentLogger, seed));
  const logger = BunyanLogger.create('entry', 'info', sink);
  const atBound = await least(relayWith(logger, seed));
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
