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
import { bulletinOf, callOf } from './fixtures.js';

const pool = ServiceId('pool');
const north = DataCentreId('north');

/** Stages of one kind, with memory for ten layers and as many tokens as that leaves. */
const engine = engineOf();
const card = engine.accelerators.find((a) => a.name === 'middle')!;

/** Tokens x layers that one stage of ten layers holds beside them. */
const capacity =
  ((card.memoryMb - 10 * engine.layerMb) * 1e6 * engine.layerCount) / engine.tokenBytes;

/** Parallel chains of eight equal stages. */
function chains(count: number): readonly UpstreamRecord[] {
  return Array.from({ length: count * 8 }, (_, i): UpstreamRecord => {
    const from = (i % 8) * 10;
    const id = UpstreamId(`u${i}`);
    const layers = { from, to: from + 10 };
    const rest = { born: 1, service: pool, dataCentre: north, phase: 'ready', slots: 134 } as const;
    return { id, address: `${id}:1`, accelerator: card.name, layers, ...rest };
  });
}

interface Chooser {
  readonly view: FleetView;
  readonly loads: Loads;
  readonly targets: Balancer;
  told: readonly UpstreamLoad[];
}

/** Entries of one data centre that learn of each other's load with a lag. */
class Crowd {
  readonly clock = HeldClock.create();
  private readonly random = SeededRandom.create(5);
  private readonly choosers: readonly Chooser[];
  private readonly entries: readonly EntryRecord[];

  constructor(
    count: number,
    private readonly upstreams: readonly UpstreamRecord[],
  ) {
    this.entries = Array.from({ length: count }, (_, i) => ({
      node: NodeId(`e${i}`),
      dataCentre: north,
      address: `e${i}:1`,
      phase: 'ready',
    }));
    this.choosers = this.entries.map(() => this.chooser());
  }

  private chooser(): Chooser {
    const { clock, random } = this;
    const view = FleetView.create({ clock, logger: silentLogger, parse: () => undefined });
    const loads = Loads.create();
    const health = Health.create(clock);
    const isSuspected = () => false;
    const rest = { view, health, loads, random, dataCentre: north, isSuspected };
    return { view, loads, targets: Balancer.create(rest), told: [] };
  }

  /** All entries tell their load, and learn that of the others as it was told before. */
  exchange(): void {
    const before = this.choosers.map((c) => c.told);
    const sums = sumByUpstream(before.flat());
    const bulletin = bulletinOf({ entries: this.entries, loads: [...sums.values()] });
    for (const chooser of this.choosers) {
      const update = { kind: 'update', index: 1, whole: true, document: undefined } as const;
      const { upstreams } = this;
      const { told } = chooser;
      chooser.view.apply({ ...update, quarantined: [], bulletin, upstreams }, 0, told);
      chooser.told = chooser.loads.all;
    }
  }

  /** One entry sends a stream that lasts `ms`. */
  send(ms: Millis): void {
    const at = Math.floor(this.random.next() * this.choosers.length);
    const { targets, loads } = this.choosers[at]!;
    const service = { id: pool, maxConnections: 10, engine };
    const target = targets.pick(callOf('resumable-stream', { service }), new Set());
    if (typeof target === 'string') return;
    const release = loads.add(target.requestLoads);
    void this.clock.sleep(ms).then(release);
  }

  /** The fullest stage now, as a share of its memory. */
  get fullest(): number {
    const taken = sumByUpstream(this.choosers.flatMap((c) => c.loads.all));
    return Math.max(0, ...[...taken.values()].map((l) => l.tokenLayers)) / capacity;
  }
}

test('entries that learn of each other late do not crowd one of several chains', async () => {
  const crowd = new Crowd(20, chains(3));
  let fullest = 0;
  let atSend = 0;
  for (let ms = 0; ms < 8000; ms += 20) {
    if (ms % 500 === 0) crowd.exchange();
    crowd.send(2000);
    atSend += 1;
    await crowd.clock.advance(20);
    fullest = Math.max(fullest, crowd.fullest);
  }
  // 100 streams of 922 tokens at a time over three stages of ten layers each, if evenly spread.
  const even = (100 * 922 * 10) / 3 / capacity;
  assert.ok(atSend === 400 && fullest < 0.92, `${fullest} of a stage taken where ${even} is even`);
});
