import { err, ok } from 'neverthrow';
import {
  AccountId,
  DataCentreId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Clock, Logger, Metrics } from '@tanagercart/base';
import type { CallKind, Configuration, Route } from '@tanagercart/config';
import { RouteId } from '@tanagercart/config';
import { FleetView } from '@tanagercart/fleet';
import { encode } from '@tanagercart/protocol';
import type { Bulletin, UpstreamRecord } from '@tanagercart/protocol';
import { Balancer, Health, Loads, Relay, RetryBudget } from '../src/index.js';
import type {
  Attempt,
  Call,
  Caller,
  ProbeResult,
  Refusal,
  ResponseHead,
  UpstreamClient,
  UpstreamResponse,
} from '../src/index.js';

export const desk = ServiceId('desk');

export function routeOf(kind: CallKind, change: Partial<Route> = {}): Route {
  return {
    id: RouteId('r'),
    host: 'figs.example',
    prefix: '/desk/',
    kind,
    timeoutMs: 1000,
    objectiveMs: 300,
    pauseMs: 200,
    priority: 1,
    shares: [{ service: desk, weight: 1 }],
    maxAttempts: 2,
    open: false,
    ...change,
  };
}

export function callOf(kind: CallKind, change: Partial<Call> = {}): Call {
  return {
    id: RequestId('a1'),
    method: 'POST',
    path: '/desk/1',
    headers: [],
    body: Buffer.from('body'),
    route: routeOf(kind),
    service: { id: desk, maxConnections: 10, engine: undefined },
    account: AccountId('quay'),
    priority: 1,
    work: undefined,
    lastEvent: undefined,
    startedAt: 0,
    callerDeadline: undefined,
    ...change,
  };
}

export function upstreamOf(id: string, change: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return {
    id: UpstreamId(id),
    born: 1,
    service: desk,
    address: `${id}:1`,
    dataCentre: DataCentreId('north'),
    phase: 'ready',
    slots: 6,
    accelerator: undefined,
    layers: undefined,
    ...change,
  };
}

/** An encoded bulletin that tells nothing but what is given. */
export function bulletinOf(change: Partial<Bulletin> = {}): Uint8Array {
  return encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [], ...change });
}

/** A configuration that a view is to hold: packed, and how it is read. */
export interface PackedDocument {
  readonly packed: Uint8Array;
  readonly read: (text: string) => Configuration | undefined;
}

/** A view that was told of some upstreams. */
export function viewOf(
  clock: Clock,
  upstreams: readonly UpstreamRecord[],
  document?: PackedDocument,
): FleetView {
  const read = document?.read ?? (() => undefined);
  const view = FleetView.create({ clock, logger: silentLogger, parse: read });
  const update = {
    kind: 'update',
    index: 1,
    whole: true,
    upstreams,
    document: document?.packed,
    quarantined: [],
    bulletin: bulletinOf(),
  } as const;
  if (!view.apply(update, clock.now(), [])) throw new Error('the view refused its document');
  return view;
}

/** What a relay is made of, where it matters. */
export interface RelayParts {
  readonly clock: Clock;
  readonly client: UpstreamClient;
  readonly view: FleetView;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
  /** Repeats that it may send. */
  readonly slack?: number;
  readonly quarantined?: readonly string[];
}

/** A relay, the loads that it counts and the strikes that it tells. */
export function relayOf(parts: RelayParts) {
  const { clock, client, view, logger = silentLogger, slack = 100, quarantined = [] } = parts;
  const health = Health.create(clock);
  const loads = Loads.create();
  const random = SeededRandom.create(1);
  const dataCentre = DataCentreId('north');
  const isSuspected = () => false;
  const struck: string[] = [];
  const relay = Relay.create({
    clock,
    random,
    logger,
    client,
    balancer: Balancer.create({ view, health, loads, random, dataCentre, isSuspected }),
    health,
    loads,
    budget: RetryBudget.create(clock, { ratio: 0, slack, windowMs: 10_000 }, () => 1),
    metrics: parts.metrics ?? StatsdMetrics.create(),
    quarantine: {
      isEmpty: () => quarantined.length === 0,
      has: (fingerprint) => quarantined.includes(fingerprint),
      recordCrash: (fingerprint) => {
        struck.push(fingerprint);
      },
    },
  });
  return { relay, loads, struck };
}

/** Remembers what a caller was sent. */
export class FakeCaller implements Caller {
  readonly leaving = new AbortController();
  readonly disconnected: Caller['disconnected'] = this.leaving.signal;
  head: ResponseHead | undefined;
  body = '';
  ended: 'ended' | 'broken' | undefined;
  refusal: Refusal | undefined;

  start(head: ResponseHead): void {
    this.head = head;
  }

  write(bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString();
    return Promise.resolve();
  }

  end(): void {
    this.ended = 'ended';
  }

  abort(): void {
    this.ended = 'broken';
  }

  refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }

  /** What the caller got, in one line. */
  get got(): string {
    if (this.refusal) return this.refusal.kind;
    return `${this.head?.status} ${this.body} ${this.ended}`;
  }
}

/** How one sending ends. */
export type Script =
  | { readonly kind: 'answer'; readonly status: number; readonly chunks: readonly string[] }
  | { readonly kind: 'cut'; readonly chunks: readonly string[] }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'broken' }
  /** Neither answers nor closes. */
  | { readonly kind: 'dark' };

/** Plays one script after the other, and remembers what was sent. */
export class FakeClient implements UpstreamClient {
  readonly sent: Attempt[] = [];
  look: ProbeResult = { kind: 'waiting' };

  constructor(private readonly scripts: Script[]) {}

  async send(_: Call, attempt: Attempt, stop: AbortSignal): ReturnType<UpstreamClient['send']> {
    this.sent.push(attempt);
    const script = this.scripts.shift() ?? { kind: 'dark' };
    switch (script.kind) {
      case 'unreachable':
        return err({ kind: 'unreachable', detail: 'refused' });
      case 'broken':
        return err({ kind: 'broken', detail: 'reset' });
      case 'dark':
        await aborted(stop);
        return err({ kind: 'cancelled' });
      case 'not-run':
        return ok(answer(503, [], true));
      case 'cut':
        return ok(answer(200, script.chunks, false, true));
      case 'answer':
      default:
        return ok(answer(script.status, script.chunks));
    }
  }

  probe(): Promise<ProbeResult> {
    return Promise.resolve(this.look);
  }
}

function answer(
  status: number,
  chunks: readonly string[],
  notRun = false,
  cut = false,
): UpstreamResponse {
  return {
    head: { status, reason: '', headers: [], closeDelimited: false },
    notRun,
    culprit: undefined,
    body: bodyOf(chunks, cut),
  };
}

async function* bodyOf(chunks: readonly string[], cut: boolean): AsyncGenerator<Uint8Array> {
  for (const chunk of chunks) yield Buffer.from(chunk);
  if (cut) throw new Error('cut');
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

/** Events with the ids `from` to `to`. */
export function events(from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, i) => `id: ${from + i}\ndata: x\n\n`).join('');
}
