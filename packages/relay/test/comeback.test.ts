import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import { HeldClock, RequestId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { CallKind, Route } from '@tanagercart/config';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Attempt, Call, ProbeResult, UpstreamClient } from '../src/index.js';
import {
  FakeCaller,
  bulletinOf,
  callOf,
  events,
  noticesOf,
  relayOf,
  responseOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Sent } from './fixtures.js';

/** What an upstream does with an attempt. */
type Play = (attempt: Attempt, stop: AbortSignal) => Promise<Sent>;

const whole = `200 ${events(0, 9)} ended`;

const gone: Play = async () => err({ kind: 'unreachable', detail: 'refused', isGone: true });

/** Sends the rest of the events. */
const rest: Play = async ({ lastEvent = -1 }) => ok(responseOf(200, [events(lastEvent + 1, 9)]));

/** Sends `count` events and breaks off. */
function breaksAfter(count: number): Play {
  return async ({ lastEvent = -1 }) =>
    ok(responseOf(200, [events(lastEvent + 1, lastEvent + count)], false, true));
}

/** Sends the first two events, and the rest once it is no longer silent at `untilMs`. */
function silentUntil(clock: HeldClock, untilMs: Millis): Play {
  async function* body(from: number, stop: AbortSignal) {
    if (from === 0) yield Buffer.from(events(0, 1));
    if (clock.now() < untilMs) await clock.sleep(untilMs - clock.now(), stop);
    if (stop.aborted) throw new Error('cancelled');
    yield Buffer.from(events(Math.max(2, from), 9));
  }
  return async ({ lastEvent = -1 }, stop) =>
    ok({ ...responseOf(200, []), body: body(lastEvent + 1, stop) });
}

/** Plays the attempts in order; probes of the first receiver are answered from `untilMs` on. */
class Played implements UpstreamClient {
  readonly sent: Attempt[] = [];

  constructor(
    private readonly clock: HeldClock,
    private readonly plays: Play[],
    private readonly untilMs: Millis,
  ) {}

  send(_: Call, attempt: Attempt, stop: AbortSignal): Promise<Sent> {
    this.sent.push(attempt);
    return (this.plays.shift() ?? gone)(attempt, stop);
  }

  async probe(_: Call, { id }: UpstreamRecord): Promise<ProbeResult> {
    if (id !== this.sent[0]?.upstream.id) return { kind: 'waiting' };
    await this.clock.sleep(Math.min(500, Math.max(0, this.untilMs - this.clock.now())));
    if (this.clock.now() >= this.untilMs) return { kind: 'waiting' };
    return { kind: 'silent', detail: 'no answer in time' };
  }
}

/** Serves one request, a resumable stream by default, for at most `forMs`. */
async function serve(
  ids: readonly string[],
  plays: (clock: HeldClock) => Play[],
  {
    untilMs = 0,
    forMs = 6000,
    kind = 'resumable-stream',
    route = {},
    restartAt,
    backOffMs,
  }: {
    untilMs?: Millis;
    forMs?: Millis;
    kind?: CallKind;
    route?: Partial<Route>;
    /** Time at which the first receiver is announced as another incarnation. */
    restartAt?: Millis;
    /** Time for which the others than the first receiver want to be left alone. */
    backOffMs?: Millis;
  } = {},
) {
  const clock = HeldClock.create();
  const client = new Played(clock, plays(clock), untilMs);
  const upstreams = ids.map((id) => upstreamOf(id));
  const view = viewOf(clock, upstreams);
  const { relay, health, availability } = relayOf({ clock, client, view });
  const caller = new FakeCaller();
  const times = { latencyTargetMs: 500, timeoutMs: 20_000 };
  const call = callOf(kind, { route: routeOf(kind, { ...times, ...route }) });
  void relay.serve(call, caller);
  await clock.advance(0);
  for (const upstream of backOffMs === undefined ? [] : upstreams) {
    if (upstream.id === client.sent[0]!.upstream.id) continue;
    availability.record(RequestId('other'), upstream, noticesOf({ backOffMs }));
  }
  for (let ms = 0; ms < forMs; ms += 10) {
    await clock.advance(10);
    if (restartAt !== undefined && clock.now() === restartAt) {
      const first = client.sent[0]!.upstream;
      view.apply(
        {
          kind: 'update',
          index: 2,
          whole: true,
          upstreams: upstreams.map((u) => (u.id === first.id ? { ...u, born: 2 } : u)),
          document: undefined,
          quarantined: [],
          bulletin: bulletinOf(),
        },
        clock.now(),
        { loads: [], documentVersion: 0 },
      );
    }
  }
  return { caller, health, sent: client.sent.map((a) => a.upstream.id) };
}

test('a stream returns to an upstream that was silent once its other one breaks', async () => {
  for (const [breakMs, untilMs] of [
    [1000, 1200],
    [0, 1200],
    [1000, 3000],
  ] as const) {
    const { caller, sent } = await serve(
      ['one', 'two'],
      (clock) => [
        silentUntil(clock, untilMs),
        async (attempt, stop) => {
          async function* body() {
            yield Buffer.from(events(2, 4));
            await clock.sleep(breakMs, stop);
            throw new Error('cut');
          }
          assert.equal(attempt.lastEvent, 1);
          return ok({ ...responseOf(200, []), body: body() });
        },
        silentUntil(clock, untilMs),
      ],
      { untilMs },
    );
    assert.equal(caller.received, whole, `breaks after ${breakMs} ms, silent until ${untilMs} ms`);
    assert.equal(sent[2], sent[0]);
  }
});

test('a stream prefers an upstream that was not silent for it', async () => {
  const { caller, sent } = await serve(
    ['one', 'two', 'three'],
    (clock) => [silentUntil(clock, 60_000), breaksAfter(2), rest],
    { untilMs: 60_000, route: { maxAttempts: 3 } },
  );
  assert.equal(caller.received, whole);
  assert.equal(new Set(sent).size, 3);
});

test('a stream is sent to no upstream that is silent with it at the time', async () => {
  const { sent } = await serve(['one'], (clock) => [silentUntil(clock, 60_000), rest], {
    untilMs: 60_000,
  });
  assert.equal(sent.length, 1);
});

test('a stream returns to an upstream that has restarted once its other one breaks', async () => {
  const { caller, sent } = await serve(
    ['one', 'two'],
    (clock) => [
      breaksAfter(2),
      async (_, stop) => {
        async function* body() {
          yield Buffer.from(events(2, 4));
          await clock.sleep(1000, stop);
          throw new Error('cut');
        }
        return ok({ ...responseOf(200, []), body: body() });
      },
      rest,
    ],
    { restartAt: 500 },
  );
  assert.equal(caller.received, whole);
  assert.equal(sent[2], sent[0]);
});

test('a stream is not cut for the number of upstreams that are gone', async () => {
  const { caller, sent } = await serve(['one', 'two', 'three', 'four', 'five', 'six'], () => [
    breaksAfter(2),
    gone,
    gone,
    gone,
    gone,
    rest,
  ]);
  assert.equal(caller.received, whole);
  assert.equal(new Set(sent).size, 6);
});

test('a request bounds the connections that gone upstreams refuse to it', async () => {
  const ids = Array.from({ length: 40 }, (_, i) => `u${i}`);
  const { caller, sent } = await serve(ids, () => []);
  assert.equal(caller.refusal?.kind, 'not-run');
  assert.ok(sent.length > 4 && sent.length <= 12, `${sent.length} connections`);
});

/** Sends `count` events, and nothing more. */
function hangsAfter(clock: HeldClock, count: number): Play {
  async function* body(from: number, stop: AbortSignal) {
    if (count > 0) yield Buffer.from(events(from, from + count - 1));
    await clock.sleep(60_000, stop);
    throw new Error('cancelled');
  }
  return async ({ lastEvent = -1 }, stop) =>
    ok({ ...responseOf(200, []), body: body(lastEvent + 1, stop) });
}

test('a stream whose last upstream sends nothing returns to one that was silent', async () => {
  const { caller, sent } = await serve(
    ['one', 'two'],
    (clock) => [silentUntil(clock, 1200), hangsAfter(clock, 2), rest],
    { untilMs: 1200 },
  );
  assert.equal(caller.received, whole);
  assert.equal(sent[2], sent[0]);
});

test('an overdue request is sent to a further upstream once an earlier one has not run it', async () => {
  const { caller, sent } = await serve(
    ['one', 'two', 'three'],
    (clock) => [
      async () => {
        await clock.sleep(1200);
        return err({ kind: 'unreachable', detail: 'connect timed out', isGone: false });
      },
      hangsAfter(clock, 0),
      rest,
    ],
    { kind: 'idempotent', route: { timeoutMs: 2000 } },
  );
  assert.equal(caller.received, whole);
  assert.equal(new Set(sent).size, 3);
});

test('the only upstream that may run a request is not held to have failed by being slow', async () => {
  for (const kind of ['idempotent', 'resumable-stream'] as const) {
    const { sent, health } = await serve(['one', 'two'], (clock) => [hangsAfter(clock, 1)], {
      kind,
      route: { maxAttempts: 1 },
      forMs: 19_000,
    });
    assert.equal(sent.length, 1);
    assert.equal(health.failureRateOf(upstreamOf(sent[0]!)), 0);
  }
});

test('a stream waits for an upstream that wants to be left alone for a moment, and is not cut', async () => {
  const plays = (clock: HeldClock): Play[] => [
    async (_, stop) => {
      async function* body() {
        yield Buffer.from(events(0, 1));
        await clock.sleep(100, stop);
        throw new Error('cut');
      }
      return ok({ ...responseOf(200, []), body: body() });
    },
    rest,
  ];
  assert.equal((await serve(['one', 'two'], plays, { backOffMs: 600 })).caller.received, whole);
  const { caller, sent } = await serve(['one', 'two'], plays, { backOffMs: 3000, forMs: 1500 });
  assert.equal(caller.ended, 'broken');
  assert.equal(sent.length, 1);
});

test('a request that has no answer yet does not wait for an upstream', async () => {
  const plays = (clock: HeldClock): Play[] => [
    async (...args) => {
      await clock.sleep(20);
      return gone(...args);
    },
  ];
  const { caller } = await serve(['one', 'two'], plays, { backOffMs: 600, forMs: 50 });
  assert.equal(caller.refusal?.kind, 'not-run');
});
