/** Measures what admission by room costs an entry: processor time of a decision, and heap. */

import {
  AccountId,
  DataCentreId,
  NodeId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  SystemClock,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import { RouteId } from '@tanagercart/config';
import type { Engine } from '@tanagercart/config';
import { FleetView } from '@tanagercart/fleet';
import { tokenLayerCapacityOf } from '@tanagercart/layers';
import { encode } from '@tanagercart/protocol';
import type { EntryRecord, UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import { RoomAdmission } from '@tanagercart/relay';
import type { Call } from '@tanagercart/relay';
import { heapBytesOf } from './meter.js';
import type { Figure, Report } from './report.js';

/** Numbers of upstreams, accounts and requests in progress. */
const sizes = [100, 1000, 10_000] as const;

/** Decisions for each measurement. */
const decisions = 4000;

/** Entries, which share the room evenly. */
const entryCount = 8;

/** Cost at which a decision would be felt by an entry, and the memory that it may take. */
const maxDecisionMicros = 50;
const maxHeapMb = 50;

const pool = ServiceId('pool');
const north = DataCentreId('north');
const layerCount = 80;

const engine: Engine = {
  slots: 8,
  layerCount,
  layerMb: 500,
  kvBytesPerToken: 610_000,
  activationBytes: 16_384,
  interDataCentreMbps: 10_000,
  stepMs: 20,
  stepMsPerSequence: 0.2,
  stepMsPerThousandTokens: 0.1,
  prefillTokensPerSecond: 8000,
  loadSeconds: 10,
  maxConcurrentLoads: 4,
  reportLagMs: 400,
  meanPromptTokens: 800,
  meanAnswerTokens: 200,
  delays: [],
  accelerators: [{ name: 'kind', memoryMb: 40_000, stepFactor: 1, readFactor: 1 }],
};

/** Stages of a quarter of the layers. */
function upstreamsOf(count: number): readonly UpstreamRecord[] {
  return Array.from({ length: count }, (_, i) => {
    const from = ((i % 4) * layerCount) / 4;
    return {
      id: UpstreamId(`i-${String(i).padStart(10, '0')}`),
      born: 1,
      service: pool,
      address: `10.0.0.1:${i}`,
      dataCentre: north,
      phase: 'ready',
      slots: 1e6,
      accelerator: 'kind',
      layers: { from, to: from + layerCount / 4 },
    };
  });
}

/** Memory of one upstream for requests, in tokens times layers. */
const capacity = tokenLayerCapacityOf(engine, engine.accelerators[0]!, layerCount / 4);

/** Loads with which the other entries use `part` of the memory of each upstream. */
function loadsOf(upstreams: readonly UpstreamRecord[], part: number): readonly UpstreamLoad[] {
  return upstreams.map(({ id }) => ({
    id,
    sequences: 1,
    entered: 0,
    tokenLayers: capacity * part,
  }));
}

interface Fixture {
  readonly admission: RoomAdmission;
  readonly callOf: (i: number) => Call;
  /** Learns of another upstream, so that the room is derived again. */
  readonly change: () => void;
}

/** What is in use of the room of `size` upstreams, which `size` requests of this entry use. */
interface Use {
  readonly size: number;
  /** Part of the room that the other entries use, and that this one does. */
  readonly peerPart: number;
  readonly ownPart: number;
  readonly seed: number;
}

function fixtureOf({ size, peerPart, ownPart, seed }: Use): Fixture {
  const clock = SystemClock.create();
  const logger = silentLogger;
  const view = FleetView.create({
    clock,
    logger,
    leaseMs: 1e9,
    parse: () => undefined,
    onLimits: () => undefined,
  });
  const upstreams = upstreamsOf(size);
  // Each upstream holds a quarter of the layers, so four of them hold a request.
  const roomTokens = (size * capacity) / layerCount;
  const answerTokens = (roomTokens * ownPart) / size;
  const entries = Array.from({ length: entryCount }, (_, i): EntryRecord => {
    const node = NodeId(`e${i}`);
    return { node, dataCentre: north, address: `${node}:1`, phase: 'ready' };
  });
  // So much demand elsewhere that this entry has its even share.
  const tokensPerSecond = [1000 * roomTokens];
  const bulletin = encode({
    entries,
    voters: [],
    loads: loadsOf(upstreams, peerPart),
    suspicions: [],
    slow: [],
    demand: { reporters: entryCount, services: [{ service: pool, tokensPerSecond }] },
  });
  const rest = { document: undefined, quarantined: undefined, bulletin } as const;
  const learn = (some: readonly UpstreamRecord[], whole: boolean) => {
    const update = { kind: 'update', index: 1, whole, upstreams: some, ...rest } as const;
    view.apply(update, clock.latest(), { loads: [], documentVersion: 0 });
  };
  learn(upstreams, true);
  const metrics = StatsdMetrics.create();
  const random = SeededRandom.create(seed);
  const admission = RoomAdmission.create({ clock, random, logger, metrics, view });
  const callOf = (i: number): Call => ({
    id: RequestId(`request-${i}`),
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    route: {
      id: RouteId('route'),
      host: 'bench',
      prefix: '/',
      kind: 'stream',
      timeoutMs: 10_000,
      latencyTargetMs: 700,
      maxEventGapMs: undefined,
      priority: 0,
      shares: [{ service: pool, weight: 1 }],
      maxAttempts: 2,
      isPublic: false,
    },
    service: { id: pool, maxConnections: 100, engine },
    account: AccountId(`account-${Math.floor(random.next() ** 2 * size)}`),
    priority: i % 3,
    work: { promptTokens: 0, answerTokens },
    sharedParts: [],
    lastEvent: undefined,
    startedAt: clock.now(),
    callerDeadline: undefined,
  });
  return { admission, callOf, change: () => learn(upstreams.slice(0, 1), false) };
}

/** Median time of a decision with `size` requests in progress, and the part that is refused. */
function decide({ admission, callOf }: Fixture, size: number) {
  for (let i = 0; i < size; i += 1) admission.admit(callOf(i));
  const times: number[] = [];
  let refused = 0;
  for (let i = 0; i < decisions; i += 1) {
    const call = callOf(i);
    const from = process.hrtime.bigint();
    const admittance = admission.admit(call);
    times.push(Number(process.hrtime.bigint() - from) / 1000);
    if (admittance.kind === 'admitted') admittance.end();
    else refused += 1;
  }
  const micros = times.sort((a, b) => a - b)[Math.floor(decisions / 2)]!;
  return { micros, refusedPart: refused / decisions };
}

/** Time of the decision after a change of upstreams, which derives the room. */
function derivationMicros({ admission, callOf, change }: Fixture): number {
  const times = Array.from({ length: 9 }, (_, i) => {
    change();
    const call = callOf(i);
    const from = process.hrtime.bigint();
    admission.admit(call);
    return Number(process.hrtime.bigint() - from) / 1000;
  });
  return times.sort((a, b) => a - b)[4]!;
}

/** Heap of what admission keeps for that many accounts and requests in progress, in megabytes. */
async function heapMbOf(size: number, seed: number): Promise<number> {
  const fill = () => {
    const { admission, callOf } = fixtureOf({ size, peerPart: 0.2, ownPart: 0.1, seed });
    const ends = Array.from({ length: size }, (_, i) => {
      const call = { ...callOf(i), account: AccountId(`account-${i}`) };
      return admission.admit(call);
    });
    return { admission, ends };
  };
  await heapBytesOf(fill);
  return (await heapBytesOf(fill)) / 1e6;
}

/** Measures decisions with room and without for growing fleets. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const size of sizes) {
    const target =
      size <= 1000 ? { kind: 'at-most' as const, value: maxDecisionMicros } : undefined;
    const add = (name: string, value: number, unit: string, bound?: Figure['target']) =>
      figures.push({ name: `${name}, ${size}`, value, unit, ...(bound && { target: bound }) });
    const open = { size, peerPart: 0.2, ownPart: 0.1, seed };
    const short = { size, peerPart: 0.85, ownPart: 0.2, seed };
    add('decision with room', decide(fixtureOf(open), size).micros, 'us', target);
    const { micros, refusedPart } = decide(fixtureOf(short), size);
    add('decision without room', micros, 'us', target);
    add('refused without room', refusedPart, 'part');
    add('decision after a change', derivationMicros(fixtureOf(open)), 'us');
    const heapTarget = { kind: 'at-most' as const, value: maxHeapMb };
    add('heap', await heapMbOf(size, seed), 'MB', heapTarget);
  }
  return { bench: 'admission', seed, figures };
}
