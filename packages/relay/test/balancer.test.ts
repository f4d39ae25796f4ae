import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  ServiceId,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { FleetView, sumByUpstream } from '@tanagercart/fleet';
import { engine as engineOf } from '@tanagercart/layers/test';
import type { EntryRecord, UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import { Balancer, Health, Loads } from '../src/index.js';
import { bulletinOf, callOf, selectionOf } from './fixtures.js';

const pool = ServiceId('pool');
const north = DataCentreId('north');

const engine = engineOf();

/** All stages run on this kind: ten layers, and the KV cache in the remaining memory. */
const accelerator = engine.accelerators.find((a) => a.name === 'middle')!;

/** KV cache of one stage beside its ten layers, in tokens times layers. */
const capacity =
  ((accelerator.memoryMb - 10 * engine.layerMb) * 1e6 * engine.layerCount) / engine.kvBytesPerToken;

/** Parallel pipelines of eight equal stages. */
function pipelines(count: number): readonly UpstreamRecord[] {
  return Array.from({ length: count * 8 }, (_, i): UpstreamRecord => {
    const from = (i % 8) * 10;
    const id = UpstreamId(`u${i}`);
    const layers = { from, to: from + 10 };
    const rest = { born: 1, service: pool, dataCentre: north, phase: 'ready', slots: 134 } as const;
    return { id, address: `${id}:1`, accelerator: accelerator.name, layers, ...rest };
  });
}

interface Entry {
  readonly view: FleetView;
  readonly loads: Loads;
  readonly balancer: Balancer;
  /** Load as of the last exchange. */
  reported: readonly UpstreamLoad[];
}

/** Entries of one data centre that know each other's load as of an earlier exchange. */
class EntryGroup {
  readonly clock = HeldClock.create();
  private readonly random = SeededRandom.create(5);
  private readonly entries: readonly Entry[];
  private readonly records: readonly EntryRecord[];

  constructor(
    count: number,
    private readonly upstreams: readonly UpstreamRecord[],
  ) {
    this.records = Array.from({ length: count }, (_, i) => ({
      node: NodeId(`e${i}`),
      dataCentre: north,
      address: `e${i}:1`,
      phase: 'ready',
    }));
    this.entries = this.records.map(() => this.createEntry());
  }

  private createEntry(): Entry {
    const { clock, random } = this;
    const view = FleetView.create({
      clock,
      logger: silentLogger,
      leaseMs: 4000,
      parse: () => undefined,
      onLimits: () => undefined,
    });
    const loads = Loads.create();
    const health = Health.create(clock);
    const isSuspected = () => false;
    const availability = {
      acceptsRequests: () => true,
      isLeaving: () => false,
      backOffMsOf: () => 0,
      isLimited: () => false,
      waitMsOf: () => 0,
    };
    const rest = { view, health, loads, random, dataCentre: north, isSuspected, availability };
    return { view, loads, balancer: Balancer.create(rest), reported: [] };
  }

  /** All entries report their load, and receive the loads of the exchange before. */
  exchange(): void {
    const before = this.entries.map((e) => e.reported);
    const sums = sumByUpstream(before.flat());
    const bulletin = bulletinOf({ entries: this.records, loads: [...sums.values()] });
    for (const entry of this.entries) {
      const update = { kind: 'update', index: 1, whole: true, document: undefined } as const;
      const { upstreams } = this;
      const call = { loads: entry.reported, documentVersion: 0 };
      entry.view.apply({ ...update, quarantined: [], bulletin, upstreams }, 0, call);
      entry.reported = entry.loads.all;
    }
  }

  /** Sends a stream that lasts `ms` from a random entry. */
  send(ms: Millis): void {
    const at = Math.floor(this.random.next() * this.entries.length);
    const { balancer, loads } = this.entries[at]!;
    const service = { id: pool, maxConnections: 10, engine };
    const target = balancer.pick(callOf('resumable-stream', { service }), selectionOf());
    if (typeof target === 'string') return;
    const release = loads.add(target.requestLoads);
    void this.clock.sleep(ms).then(release);
  }

  /** Utilisation of the KV cache of the fullest stage. */
  get maxUtilisation(): number {
    const taken = sumByUpstream(this.entries.flatMap((e) => e.loads.all));
    return Math.max(0, ...[...taken.values()].map((l) => l.tokenLayers)) / capacity;
  }
}

// Guards against herding: entries whose load reports are 0.5 to 1 s old would all send to the
// pipeline that was free when the reports were made, and exhaust its KV cache.
test('entries with stale load reports spread streams over all pipelines', async () => {
  const group = new EntryGroup(20, pipelines(3));
  let highest = 0;
  let sent = 0;
  for (let ms = 0; ms < 8000; ms += 20) {
    if (ms % 500 === 0) group.exchange();
    group.send(2000);
    sent += 1;
    await group.clock.advance(20);
    highest = Math.max(highest, group.maxUtilisation);
  }
  // An even spread has 100 streams of 922 tokens over three stages of ten layers at a time.
  const even = (100 * 922 * 10) / 3 / capacity;
  assert.ok(
    sent === 400 && highest < 0.92,
    `utilisation of a stage reached ${highest}; an even spread has ${even}`,
  );
});
