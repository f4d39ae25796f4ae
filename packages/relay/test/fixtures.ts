import { err, ok } from 'neverthrow';
import {
  AccountId,
  DataCentreId,
  NodeId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Millis, Clock, Logger, Metrics } from '@tanagercart/base';
import type { CallKind, Configuration, Route } from '@tanagercart/config';
import { RouteId } from '@tanagercart/config';
import { FleetView } from '@tanagercart/fleet';
import { MemoryNetwork, encode } from '@tanagercart/protocol';
import type { Bulletin, Transport, UpstreamCrash, UpstreamRecord } from '@tanagercart/protocol';
import { Pacer } from '@tanagercart/pacing';
import {
  Availability,
  Balancer,
  Health,
  Intake,
  Loads,
  PaceLimits,
  Relay,
  RetryBudget,
} from '../src/index.js';
import type {
  Attempt,
  Call,
  Caller,
  ProbeResult,
  Quarantine,
  Refusal,
  RelayOptions,
  ResponseHead,
  Selection,
  UpstreamClient,
  UpstreamNotices,
  UpstreamResponse,
} from '../src/index.js';

/** What one send of an attempt resolves to. */
export type Sent = Awaited<ReturnType<UpstreamClient['send']>>;

/** Id of the service of all test requests. */
export const desk = ServiceId('desk');

/** A route of the given kind. */
export function routeOf(kind: CallKind, overrides: Partial<Route> = {}): Route {
  return {
    id: RouteId('r'),
    host: 'figs.example',
    prefix: '/desk/',
    kind,
    timeoutMs: 1000,
    latencyTargetMs: 300,
    maxEventGapMs: 200,
    priority: 1,
    shares: [{ service: desk, weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    ...overrides,
  };
}

/** A request on such a route. */
export function callOf(kind: CallKind, overrides: Partial<Call> = {}): Call {
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
    sharedParts: [],
    lastEvent: undefined,
    startedAt: 0,
    callerDeadline: undefined,
    ...overrides,
  };
}

/** A selection without restrictions but for those given. */
export function selectionOf(overrides: Partial<Selection> = {}): Selection {
  const none = new Set<UpstreamId>();
  return {
    isExcluded: () => false,
    isAvoided: () => false,
    receivers: undefined,
    withoutPermit: none,
    maxWaitMs: Infinity,
    targetLeftMs: Infinity,
    ...overrides,
  };
}

/** A ready upstream of the service in this data centre. */
export function upstreamOf(id: string, overrides: Partial<UpstreamRecord> = {}): UpstreamRecord {
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
    ...overrides,
  };
}

/** An encoded bulletin; its fields are empty unless given. */
export function bulletinOf(overrides: Partial<Bulletin> = {}): Uint8Array {
  return encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [], ...overrides });
}

/** A configuration for a view: the packed text, and the function that parses it. */
export interface PackedDocument {
  readonly packed: Uint8Array;
  readonly read: (text: string) => Configuration | undefined;
}

/** A view that has received the given upstreams and configuration. */
export function viewOf(
  clock: Clock,
  upstreams: readonly UpstreamRecord[],
  document?: PackedDocument,
  leaseMs: Millis = 4000,
): FleetView {
  const read = document?.read ?? (() => undefined);
  const view = FleetView.create({
    clock,
    logger: silentLogger,
    leaseMs,
    parse: read,
    onLimits: () => undefined,
  });
  const update = {
    kind: 'update',
    index: 1,
    whole: true,
    upstreams,
    document: document?.packed,
    quarantined: [],
    bulletin: bulletinOf(),
  } as const;
  const applied = view.apply(update, clock.now(), { loads: [], documentVersion: 0 });
  if (!applied) throw new Error('the view rejected the configuration');
  return view;
}

/** Dependencies of a relay that tests choose. */
export interface RelayParts {
  readonly clock: Clock;
  readonly client: UpstreamClient;
  readonly view: FleetView;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
  /** Slack of the retry budget. */
  readonly slack?: number;
  readonly quarantined?: readonly string[];
  /** Takes the place of the quarantine that only records what it is told. */
  readonly quarantine?: Quarantine;
  /** Requests and parts of prompts that the leader suspects. */
  readonly suspected?: readonly string[];
  /** The node, its connection to the other entries, and all entries; one alone by default. */
  readonly peers?: Peers;
  readonly intake?: Intake;
}

/** One of several entries that share the limits of upstreams. */
export interface Peers {
  readonly self: NodeId;
  readonly transport: Transport;
  readonly nodes: () => readonly NodeId[];
}

/** The only entry of a fleet. */
function aloneOn(clock: Clock): Peers {
  const self = NodeId('entry');
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  return { self, transport: network.attach(self), nodes: () => [self] };
}

/** A relay with the loads that it counts, and the crashes and answers that it reports. */
export function relayOf(parts: RelayParts) {
  const { clock, client, view, logger = silentLogger, slack = 100, quarantined = [] } = parts;
  const health = Health.create(clock);
  const loads = Loads.create();
  const random = SeededRandom.create(1);
  const dataCentre = DataCentreId('north');
  const isSuspected = () => false;
  const crashes: UpstreamCrash[] = [];
  const answered: string[] = [];
  const suspected = new Set(parts.suspected ?? []);
  const metrics = parts.metrics ?? StatsdMetrics.create();
  const pacer = Pacer.create({ ...(parts.peers ?? aloneOn(clock)), clock, logger, metrics });
  const availability = Availability.create({ clock, random, logger, metrics, pacer });
  const { self } = parts.peers ?? aloneOn(clock);
  const paces = PaceLimits.create({ self, view, loads, clock, logger, metrics });
  const balancerParts = {
    view,
    health,
    loads,
    random,
    dataCentre,
    isSuspected,
    availability,
    paces,
  };
  const balancer = Balancer.create(balancerParts);
  const options: RelayOptions = {
    clock,
    random,
    logger,
    client,
    balancer,
    health,
    loads,
    budget: RetryBudget.create(clock, { ratio: 0, slack, windowMs: 10_000 }, () => 1),
    metrics,
    availability,
    paces,
    intake: parts.intake ?? Intake.create(),
    quarantine: parts.quarantine ?? {
      isEmpty: () => quarantined.length === 0,
      has: (subject) => quarantined.includes(subject),
      hasSuspects: () => suspected.size > 0,
      isSuspected: (subject) => suspected.has(subject),
      recordCrash: (crash) => {
        crashes.push(crash);
      },
      recordAnswer: (subject) => {
        answered.push(subject);
      },
    },
  };
  const relay = Relay.create(options);
  return {
    options,
    relay,
    balancer,
    health,
    pacer,
    availability,
    loads,
    paces,
    crashes,
    answered,
    suspected,
  };
}

/** Records what a caller is sent. */
export class FakeCaller implements Caller {
  readonly connection = new AbortController();
  readonly disconnected: Caller['disconnected'] = this.connection.signal;
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

  /** What the caller received, in one line. */
  get received(): string {
    if (this.refusal) return this.refusal.kind;
    return `${this.head?.status} ${this.body} ${this.ended}`;
  }
}

/** How one attempt ends. */
export type Script =
  | { readonly kind: 'answer'; readonly status: number; readonly chunks: readonly string[] }
  /** The body breaks off after `chunks`. */
  | { readonly kind: 'cut'; readonly chunks: readonly string[] }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'broken' }
  /** The request may have crossed the end of a kept connection. */
  | { readonly kind: 'crossed' }
  /** Neither responds nor closes. */
  | { readonly kind: 'hang' };

/** Plays one script per attempt, and records the attempts. */
export class FakeClient implements UpstreamClient {
  readonly sent: Attempt[] = [];
  probeResult: ProbeResult = { kind: 'waiting' };

  constructor(private readonly scripts: Script[]) {}

  async send(_: Call, attempt: Attempt, stop: AbortSignal): ReturnType<UpstreamClient['send']> {
    this.sent.push(attempt);
    const script = this.scripts.shift() ?? { kind: 'hang' };
    switch (script.kind) {
      case 'unreachable':
        return err({ kind: 'unreachable', detail: 'refused', isGone: true });
      case 'broken':
        return err({ kind: 'broken', detail: 'reset' });
      case 'crossed':
        return err({ kind: 'broken', detail: 'reset', mayHaveCrossed: true });
      case 'hang':
        await aborted(stop);
        return err({ kind: 'cancelled' });
      case 'not-run':
        return ok(responseOf(503, [], true));
      case 'cut':
        return ok(responseOf(200, script.chunks, false, true));
      case 'answer':
      default:
        return ok(responseOf(script.status, script.chunks));
    }
  }

  probe(): Promise<ProbeResult> {
    return Promise.resolve(this.probeResult);
  }
}

/** The notices of a response that says nothing of its upstream but what is given. */
export function noticesOf(overrides: Partial<UpstreamNotices> = {}): UpstreamNotices {
  const rateLimit = { kind: 'unlimited' } as const;
  return { isLeaving: false, backOffMs: undefined, notRun: false, rateLimit, ...overrides };
}

/** A response with the given body, which breaks off at its end if `cut` is set. */
export function responseOf(
  status: number,
  chunks: readonly string[],
  notRun = false,
  cut = false,
): UpstreamResponse {
  return {
    head: { status, reason: '', headers: [], closeDelimited: false },
    notices: noticesOf({ notRun }),
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

/** Server-sent events with the ids `from` to `to`. */
export function events(from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, i) => `id: ${from + i}\ndata: x\n\n`).join('');
}
