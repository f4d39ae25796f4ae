import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import { NodeId, RequestId } from '@tanagercart/base';
import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import { Fleet } from '@tanagercart/fleet/test';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { FleetQuarantine } from '../src/index.js';
import type { Attempt, Call, ProbeResult, UpstreamClient } from '../src/index.js';
import { FakeCaller, callOf, events, relayOf, responseOf, upstreamOf, viewOf } from './fixtures.js';

/** Time after the third crash from which on the users count what still reaches upstreams. */
const contactMs: Millis = 3000;

/** How long an upstream is down after a crash. */
const downMs: Millis = 2500;

/** Time between two events of a stream. */
const eventMs: Millis = 30;

/** Events of a whole answer. */
const lastEvent = 40;

/** Arrivals that the users allow later than `contactMs` after the third crash. */
const allowedArrivals = 3;

/** Upstreams that write streams; one with a deadly path crashes them after some events. */
class MortalUpstreams implements UpstreamClient {
  private readonly downUntil = new Map<UpstreamId, Millis>();
  readonly crashes: Millis[] = [];
  /** Times at which a deadly request reached an upstream. */
  readonly deadlySends: Millis[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly eventsToCrash: number,
  ) {}

  /** Ends an upstream, which is back after a while. */
  crash(upstream: UpstreamId): void {
    this.downUntil.set(upstream, this.clock.now() + downMs);
  }

  send(call: Call, { upstream, lastEvent: from = 0 }: Attempt): ReturnType<UpstreamClient['send']> {
    if (this.isDown(upstream)) {
      return Promise.resolve(err({ kind: 'unreachable', detail: 'refused', isGone: true }));
    }
    if (isDeadly(call)) this.deadlySends.push(this.clock.now());
    const body = this.write(call, upstream, from);
    return Promise.resolve(ok({ ...responseOf(200, []), body }));
  }

  probe(_: Call, upstream: UpstreamRecord): Promise<ProbeResult> {
    return Promise.resolve(
      this.isDown(upstream) ? { kind: 'gone', detail: 'refused' } : { kind: 'waiting' },
    );
  }

  private isDown({ id }: UpstreamRecord): boolean {
    return this.clock.now() < (this.downUntil.get(id) ?? 0);
  }

  private async *write(
    call: Call,
    upstream: UpstreamRecord,
    from: number,
  ): AsyncGenerator<Uint8Array> {
    for (let event = from + 1; event <= lastEvent; event += 1) {
      await this.clock.sleep(eventMs);
      if (isDeadly(call) && event > from + this.eventsToCrash) {
        this.crashes.push(this.clock.now());
        this.crash(upstream.id);
      }
      if (this.isDown(upstream)) throw new Error('reset');
      yield Buffer.from(events(event, event));
    }
  }
}

function isDeadly(call: Call): boolean {
  return call.path.includes('deadly');
}

/** Four entries and six upstreams whose streams a deadly request ends after `eventsToCrash` events. */
async function startFleet(seed: number, eventsToCrash: number) {
  const fleet = await Fleet.start(seed);
  const { clock } = fleet;
  const client = new MortalUpstreams(clock, eventsToCrash);
  const upstreams = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'].map((id) => upstreamOf(id));
  const entries = ['e1', 'e2', 'e3', 'e4'].map((name) => {
    const { view, watcher } = fleet.startEntry(NodeId(name));
    const quarantine = FleetQuarantine.create(view, watcher, clock);
    return { view, ...relayOf({ clock, client, view: viewOf(clock, upstreams), quarantine }) };
  });
  let sent = 0;
  /** Sends a stream to one entry after the other. */
  const send = (path: string, lastReceived?: number) => {
    const entry = entries[sent % entries.length]!;
    sent += 1;
    const caller = new FakeCaller();
    const at = { startedAt: clock.now(), id: RequestId(`r${sent}`) };
    const call = callOf('resumable-stream', { ...at, path, sharedParts: ['common'] });
    const route = { ...call.route, timeoutMs: 10_000 };
    void entry.relay.serve({ ...call, route, lastEvent: lastReceived }, caller);
    return caller;
  };
  return { fleet, clock, client, upstreams, entries, send };
}

/** Number of arrivals of the deadly request later than the users allow any but a few. */
function lateArrivals({ crashes, deadlySends }: MortalUpstreams): number {
  const [, , third = Infinity] = crashes;
  return deadlySends.filter((at) => at > third + contactMs).length;
}

// Guards against a request that crashes upstreams in the middle of its answer and is never stopped.
for (const eventsToCrash of [1, 3, 30]) {
  for (const isResumed of [false, true]) {
    const how = isResumed ? 'resumed' : 'whole';
    test(`a request that crashes upstreams after ${eventsToCrash} events, sent again ${how}, is stopped`, async () => {
      const { clock, client, entries, send } = await startFleet(61, eventsToCrash);
      const sound: FakeCaller[] = [];
      for (let i = 0; i < 12; i += 1) {
        send('/desk/deadly', isResumed && i > 0 ? 1 : undefined);
        for (let j = 0; j < 45; j += 1) {
          sound.push(send(`/desk/${i}-${j}`));
          await clock.advance(100);
        }
      }
      await clock.advance(3000);
      assert.ok(client.crashes.length >= 3);
      assert.ok(
        lateArrivals(client) <= allowedArrivals,
        `${lateArrivals(client)} late; ${client.crashes.join(' ')}; ${[...entries[0]!.view.quarantined].join(' ')}`,
      );
      const [{ view }] = entries as [(typeof entries)[0]];
      assert.equal(view.quarantined.size, 1);
      assert.equal(sound.filter((c) => c.received.includes('quarantined')).length, 0);
      assert.ok(sound.slice(-100).every((c) => c.received.endsWith('ended')));
    });
  }
}

test('a crowd of streams on an upstream that is killed ten times is served, and none is found', async () => {
  const { clock, client, upstreams, entries, send } = await startFleet(62, Infinity);
  const sound: FakeCaller[] = [];
  for (let i = 0; i < 10; i += 1) {
    for (let j = 0; j < 40; j += 1) {
      sound.push(send(`/desk/${i}-${j % 20}`));
      await clock.advance(100);
    }
    client.crash(upstreams[0]!.id);
  }
  await clock.advance(3000);
  for (const { view } of entries) assert.equal(view.quarantined.size, 0);
  const whole = sound.filter((c) => c.received.endsWith('ended'));
  assert.equal(whole.length, sound.length);
});
