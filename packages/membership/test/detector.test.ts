import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, SeededRandom, UpstreamId } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import { Damping, HealthRecord, History, Ramp, SilenceDetector, Watchlist } from '../src/index.js';

const heartbeatMs = 500;
const dayMs = 24 * 3600 * 1000;
/** False alarms for each day of one upstream that docs/operators/membership.md states. */
const statedFalseAlarms = 0.01;
const u = (n: number) => UpstreamId(`u${n}`);

/** False alarms in `days` of heartbeats, each late by a random delay and `lost` of them resent. */
function falseAlarms(days: number, lateMs: number, lost: number, seed: number): number {
  const random = SeededRandom.create(seed);
  const detector = SilenceDetector.create(0, heartbeatMs);
  let [sent, last, alarms] = [0, 0, 0];
  while (sent < days * dayMs) {
    let resentMs = 0;
    // A segment that is lost is sent again after 200 ms, then 400 ms and so on.
    for (let wait = 200; random.next() < lost; wait *= 2) resentMs += wait;
    const arrives = Math.max(last, sent - lateMs * Math.log(1 - random.next()) + resentMs);
    if (detector.isSilent(arrives)) alarms += 1;
    detector.heard(arrives);
    last = arrives;
    sent += heartbeatMs;
  }
  return alarms;
}

test('false alarms stay within the stated rate with one heartbeat in a hundred lost', () => {
  const days = 100;
  assert.ok(falseAlarms(days, 20, 0.01, 7) <= days * statedFalseAlarms);
});

test('on a jittery link patience grows, within its bounds', () => {
  const at = (jitterMs: number) => {
    const random = SeededRandom.create(3);
    const d = SilenceDetector.create(0, heartbeatMs);
    for (let i = 1; i < 500; i += 1) d.heard(i * heartbeatMs + jitterMs * random.next());
    return d.patienceMs;
  };
  assert.equal(at(0), 2000);
  assert.ok(at(800) > 2000 && at(800) < 3000);
  assert.equal(at(4000), 3000);
});

test('the silence of most upstreams at once is held back, and believed in the end', () => {
  const clock = HeldClock.create();
  const list = Watchlist.create(clock, heartbeatMs);
  for (let i = 0; i < 10; i += 1) list.expect(u(i));
  const after = async (ms: number) => {
    await clock.advance(ms);
    return list.silent().length;
  };
  return (async () => {
    assert.equal(await after(2600), 0);
    assert.equal(await after(3900), 0);
    assert.equal(await after(200), 10);
  })();
});

test('a pause of this process is no silence of others', async () => {
  const clock = HeldClock.create();
  const list = Watchlist.create(clock, heartbeatMs);
  list.expect(u(1));
  await clock.advance(8000);
  list.paused(8000);
  assert.deepEqual(list.silent(), []);
});

test('a slow stage and a degraded link are told apart, and recover', () => {
  const record = HealthRecord.create();
  const note = (times: number, stepMs: number, rtt: number) => {
    for (let i = 0; i < times; i += 1) record.note({ stepMs, roundTripMs: { u2: rtt } });
    return record.health.kind;
  };
  assert.equal(note(20, 10, 2), 'well');
  assert.equal(note(10, 30, 2), 'slow-stage');
  assert.equal(note(20, 10, 2), 'well');
  assert.equal(note(10, 10, 40), 'degraded-link');
  assert.equal(note(400, 10, 40), 'degraded-link');
  assert.equal(note(40, 10, 2), 'well');
});

test('an upstream that flaps is kept out for a while', async () => {
  const clock = HeldClock.create();
  const damping = Damping.create(clock);
  damping.fell(u(1));
  assert.equal(damping.keepsOut(u(1)), false);
  damping.fell(u(1));
  damping.fell(u(1));
  assert.equal(damping.keepsOut(u(1)), true);
  await clock.advance(60_000);
  assert.equal(damping.keepsOut(u(1)), true);
  await clock.advance(60_000);
  assert.equal(damping.keepsOut(u(1)), false);
});

test('a newcomer starts with a small share of work, unless most are new', async () => {
  const clock = HeldClock.create();
  const history = History.create();
  const ramp = Ramp.create(history, clock);
  let index = 0;
  const up = (n: number) => {
    index += 1;
    const role = { kind: 'service', service: 's' };
    const upstream = { id: u(n), incarnation: '1', url: '', dataCentre: '', role };
    history.apply(index, encode({ kind: 'upstream-up', upstream }));
  };
  [1, 2, 3].forEach(up);
  assert.equal(ramp.upstream(u(1)), 1);
  await clock.advance(60_000);
  up(4);
  assert.equal(ramp.upstream(u(4)), 0.1);
  await clock.advance(4000);
  assert.ok(Math.abs(ramp.upstream(u(4)) - 0.55) < 0.01);
  assert.equal(ramp.upstream(u(1)), 1);
});
