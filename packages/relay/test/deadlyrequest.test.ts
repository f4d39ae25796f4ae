import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import { NodeId, RequestId } from '@tanagercart/base';
import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import type { CallKind } from '@tanagercart/config';
import { Fleet } from '@tanagercart/fleet/test';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { FleetQuarantine } from '../src/index.js';
import type { Attempt, Call, ProbeResult, UpstreamClient } from '../src/index.js';
import { FakeCaller, callOf, relayOf, responseOf, upstreamOf, viewOf } from './fixtures.js';

/** How long each upstream is down after a crash; they rarely come back at the same time. */
const downMs: ReadonlyMap<string, Millis> = new Map([
  ['u1', 2000],
  ['u2', 2900],
  ['u3', 3700],
]);

/** Time after the third crash from which on the users count what still reaches upstreams. */
const contactMs: Millis = 3000;

/** Upstreams that run a request for a while; one with a deadly path crashes them. */
class MortalUpstreams implements UpstreamClient {
  private readonly upAt = new Map<UpstreamId, Millis>();
  readonly crashes: Millis[] = [];
  /** Times at which a deadly request reached an upstream. */
  readonly deadlySends: Millis[] = [];

  constructor(private readonly clock: Clock) {}

  private isDown(upstream: UpstreamRecord): boolean {
    return this.clock.now() < (this.upAt.get(upstream.id) ?? 0);
  }

  async send(
    call: Call,
    { upstream }: Attempt,
    _: AbortSignal,
  ): ReturnType<UpstreamClient['send']> {
    const { clock } = this;
    if (this.isDown(upstream)) return err({ kind: 'unreachable', detail: 'refused', isGone: true });
    const isDeadly = call.path.includes('deadly');
    if (isDeadly) this.deadlySends.push(clock.now());
    await clock.sleep(60);
    if (this.isDown(upstream)) return err({ kind: 'broken', detail: 'reset' });
    if (!isDeadly) return ok(responseOf(200, ['fine']));
    this.crashes.push(clock.now());
    this.upAt.set(upstream.id, clock.now() + downMs.get(upstream.id)!);
    return err({ kind: 'broken', detail: 'reset' });
  }

  probe(_: Call, upstream: UpstreamRecord): Promise<ProbeResult> {
    return Promise.resolve(
      this.isDown(upstream) ? { kind: 'gone', detail: 'refused' } : { kind: 'waiting' },
    );
  }
}

/**
 * Four entries, three upstreams: a deadly request arrives every 600 ms and sound ones every 50 ms,
 * at one entry after the other. Returns what reached upstreams, and what the last callers got.
 */
async function playDeadlyRequest(kind: CallKind, seed: number) {
  const fleet = await Fleet.start(seed);
  const { clock } = fleet;
  const client = new MortalUpstreams(clock);
  const upstreams = ['u1', 'u2', 'u3'].map((id) => upstreamOf(id));
  const relays = ['e1', 'e2', 'e3', 'e4'].map((name) => {
    const { view, watcher } = fleet.startEntry(NodeId(name));
    const quarantine = FleetQuarantine.create(view, watcher, clock);
    return relayOf({ clock, client, view: viewOf(clock, upstreams), quarantine }).relay;
  });
  const sound: FakeCaller[] = [];
  for (let i = 0; i < 400; i += 1) {
    const relay = relays[i % relays.length]!;
    const at = { startedAt: clock.now(), id: RequestId(`r${i}`) };
    const caller = new FakeCaller();
    sound.push(caller);
    void relay.serve(callOf(kind, { ...at, path: `/desk/${i}` }), caller);
    if (i % 12 === 0) {
      const entry = relays[(i / 12) % relays.length]!;
      void entry.serve(callOf(kind, { ...at, path: '/desk/deadly' }), new FakeCaller());
    }
    await clock.advance(50);
  }
  await clock.advance(2000);
  return { client, last: sound.slice(-40).map((c) => c.received) };
}

for (const kind of ['idempotent', 'non-idempotent'] as const) {
  test(`a deadly ${kind} request is refused though each entry sees few of its repeats`, async () => {
    const { client, last } = await playDeadlyRequest(kind, 41);
    const from = client.crashes[2]! + contactMs;
    const late = client.deadlySends.filter((at) => at > from);
    assert.ok(late.length <= 3, `${late.length} sent after the third crash, at ${late.join(' ')}`);
    assert.ok(last.every((received) => received === '200 fine ended'));
  });
}

test('a crash that is reported while no leader is there counts once there is one', async () => {
  const fleet = await Fleet.start(43);
  const { view, watcher } = fleet.startEntry(NodeId('e1'));
  const quarantine = FleetQuarantine.create(view, watcher, fleet.clock);
  await fleet.clock.advance(1000);
  for (const node of fleet.nodes.keys()) fleet.network.cut(NodeId('e1'), node);
  for (let i = 0; i < 3; i += 1) {
    quarantine.recordCrash({ request: 'f1', parts: [], answered: [], attemptMs: 20, ageMs: 0 });
    await fleet.clock.advance(200);
  }
  await fleet.clock.advance(2500);
  fleet.network.heal();
  await fleet.waitUntil(() => view.quarantined.has('f1'), 4000);
});
