import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, SeededRandom, UpstreamId } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import {
  FailureDetector,
  FlapDamping,
  HealthTracker,
  History,
  SlowStart,
  Watchlist,
} from '../src/index.js';

const heartbeatMs = 500;
const dayMs = 24 * 3600 * 1000;
/** Bound for the false alarms of one upstream in a day, from docs/operators/membership.md. */
const maxFalseAlarmsPerDay = 0.01;
const u = (n: number) => UpstreamId(`u${n}`);

/**
 * Counts the false alarms in `days` days of heartbeats. Each heartbeat is delayed at random, by
 * `lateMs` on average. The fraction `lost` of the segments is lost and sent again.
 */
function falseAlarms(days: number, lateMs: number, lost: number, seed: number): number {
  const random = SeededRandom.create(seed);
  const detector = FailureDetector.create(0, heartbeatMs);
  let [sentAt, lastAt, alarms] = [0, 0, 0];
  while (sentAt < days * dayMs) {
    let resentMs = 0;
    // TCP sends a lost segment again after 200 ms, then after another 400 ms and so on.
    for (let wait = 200; random.next() < lost; wait *= 2) resentMs += wait;
    const arrivesAt = Math.max(lastAt, sentAt - lateMs * Math.log(1 - random.next()) + resentMs);
    if (detector.isSilent(arrivesAt)) alarms += 1;
    detector.recordHeartbeat(arrivesAt);
    lastAt = arrivesAt;
    sentAt += heartbeatMs;
  }
  return alarms;
}

test('false alarms stay within the documented rate when one heartbeat in a hundred is lost', () => {
  const days = 100;
  assert.ok(falseAlarms(days, 20, 0.01, 7) <= days * maxFalseAlarmsPerDay);
});

test('the timeout grows with the jitter of a link, within its bounds', () => {
  const timeoutWith = (jitterMs: number) => {
    const random = SeededRandom.create(3);
    const d = FailureDetector.create(0, heartbeatMs);
    for (let i = 1; i < 500; i += 1) d.recordHeartbeat(i * heartbeatMs + jitterMs * random.next());
    return d.timeoutMs;
  };
  assert.equal(timeoutWith(0), 2000);
  assert.ok(timeoutWith(800) > 2000 && timeoutWith(800) < 3000);
  assert.equal(timeoutWith(4000), 3000);
});

test('upstreams in a mass silence count as down only once it has lasted for the hold time', () => {
  const clock = HeldClock.create();
  const list = Watchlist.create(clock, heartbeatMs);
  for (let i = 0; i < 10; i += 1) list.watch(u(i));
  const silentAfter = async (ms: number) => {
    await clock.advance(ms);
    return list.silentUpstreams().length;
  };
  return (async () => {
    assert.equal(await silentAfter(2600), 0);
    assert.equal(await silentAfter(3900), 0);
    assert.equal(await silentAfter(200), 10);
  })();
});

test('a pause of this process does not count as silence of the upstreams', async () => {
  const clock = HeldClock.create();
  const list = Watchlist.create(clock, heartbeatMs);
  list.watch(u(1));
  await clock.advance(8000);
  list.excludePause(8000);
  assert.deepEqual(list.silentUpstreams(), []);
});

test('a slow stage and a degraded link are distinguished, and both recover', () => {
  const tracker = HealthTracker.create();
  const report = (times: number, stepMs: number, rtt: number) => {
    for (let i = 0; i < times; i += 1) tracker.record({ stepMs, roundTripMs: { u2: rtt } });
    return tracker.health.kind;
  };
  assert.equal(report(20, 10, 2), 'well');
  assert.equal(report(10, 30, 2), 'slow-stage');
  assert.equal(report(20, 10, 2), 'well');
  assert.equal(report(10, 10, 40), 'degraded-link');
  assert.equal(report(400, 10, 40), 'degraded-link');
  assert.equal(report(40, 10, 2), 'well');
});

test('an upstream that flaps is suppressed until its penalty has decayed', async () => {
  const clock = HeldClock.create();
  const damping = FlapDamping.create(clock);
  damping.recordFailure(u(1));
  assert.equal(damping.isSuppressed(u(1)), false);
  damping.recordFailure(u(1));
  damping.recordFailure(u(1));
  assert.equal(damping.isSuppressed(u(1)), true);
  await clock.advance(60_000);
  assert.equal(damping.isSuppressed(u(1)), true);
  await clock.advance(60_000);
  assert.equal(damping.isSuppressed(u(1)), false);
});

test('a new upstream starts with a small share of work, unless most upstreams are new', async () => {
  const clock = HeldClock.create();
  const history = History.create();
  const slowStart = SlowStart.create(history, clock);
  let index = 0;
  const announce = (n: number) => {
    index += 1;
    const role = { kind: 'service', service: 's' };
    const upstream = { id: u(n), incarnation: '1', url: '', dataCentre: '', role };
    history.apply(index, encode({ kind: 'upstream-up', upstream }));
  };
  [1, 2, 3].forEach(announce);
  assert.equal(slowStart.upstreamShare(u(1)), 1);
  await clock.advance(60_000);
  announce(4);
  assert.equal(slowStart.upstreamShare(u(4)), 0.1);
  await clock.advance(4000);
  assert.ok(Math.abs(slowStart.upstreamShare(u(4)) - 0.55) < 0.01);
  assert.equal(slowStart.upstreamShare(u(1)), 1);
});
