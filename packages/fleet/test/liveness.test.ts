import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  ServiceId,
  SuspendAwareClock,
  UpstreamId,
} from '@tanagercart/base';
import type { ServiceDemand, Suspicion } from '@tanagercart/protocol';
import { Liveness } from '../src/index.js';
import { announcementOf } from './fleet.js';

const u1 = UpstreamId('u1');

function fixture(heartbeatMs = 1000) {
  const clock = HeldClock.create();
  const liveness = Liveness.create(SuspendAwareClock.create(clock), heartbeatMs);
  let sequence = 0;
  const heartbeat = () => {
    sequence += 1;
    liveness.recordHeartbeat(announcementOf('u1', { sequence }));
  };
  const report = (
    name: string,
    suspicions: readonly Suspicion[],
    demand?: readonly ServiceDemand[],
  ) => {
    const node = NodeId(name);
    const dataCentre = DataCentreId('north');
    const entry = { node, dataCentre, address: `${name}:1`, phase: 'ready' } as const;
    const rest = { loads: [], since: 0, documentVersion: 0, waitMs: 0 };
    return liveness.recordEntry(node, { entry, suspicions, ...rest, ...(demand && { demand }) });
  };
  return { clock, liveness, heartbeat, report };
}

const failed: readonly Suspicion[] = [{ id: u1, born: 1, ageMs: 0 }];

test('a heartbeat clears a suspicion', async () => {
  const { clock, liveness, heartbeat, report } = fixture();
  report('a', failed);
  assert.equal(liveness.reporterCount(u1, 1), 1);
  report('b', failed);
  assert.equal(liveness.reporterCount(u1, 1), 2);
  await clock.advance(100);
  heartbeat();
  assert.equal(liveness.reporterCount(u1, 1), 0);
});

test('an upstream that fails repeatedly is an outlier although it sends heartbeats', async () => {
  const { clock, liveness, heartbeat, report } = fixture();
  for (let i = 0; i < 3; i += 1) {
    assert.equal(liveness.isOutlier(u1, 1), false);
    report(i % 2 === 0 ? 'a' : 'b', failed);
    await clock.advance(1000);
    heartbeat();
  }
  assert.equal(liveness.isOutlier(u1, 1), true);
  assert.equal(liveness.isOutlier(u1, 2), false, 'another incarnation is judged separately');
  assert.deepEqual(liveness.suspicions, [{ id: u1, born: 1, ageMs: 0 }]);
  await clock.advance(20_000);
  assert.equal(liveness.isOutlier(u1, 1), false, 'it is used again after the window');
});

test('one failure that several entries report counts once', () => {
  const { liveness, report } = fixture();
  for (const name of ['a', 'b', 'c', 'd']) report(name, failed);
  assert.equal(liveness.isOutlier(u1, 1), false);
});

test('entries are not informed of a suspicion that a third entry shares', () => {
  const { liveness, report } = fixture();
  for (const name of ['a', 'b', 'c', 'd']) report(name, []);
  const informed = ['a', 'b', 'c', 'd'].map((name) => report(name, failed));
  assert.deepEqual(informed, [true, true, false, false]);
  assert.equal(liveness.reporterCount(u1, 1), 4);
});

test('no upstream and no entry counts as silent because the wall clock of the leader stepped', async () => {
  const { clock, liveness, heartbeat, report } = fixture();
  heartbeat();
  report('a', []);
  await clock.advance(500);
  clock.stepWall(6000);
  assert.ok(!liveness.isLost(announcementOf('u1')));
  assert.equal(liveness.entries.length, 1);
});

test('a suspicion that an entry reports again, by a call that took longer, is no news', async () => {
  const { clock, report } = fixture();
  assert.equal(report('a', failed), true);
  report('a', []);
  for (let i = 1; i <= 5; i += 1) {
    await clock.advance(100);
    // The failure was 100 * i ms ago; this call took 2 * i ms longer than the first.
    assert.equal(report('a', [{ id: u1, born: 1, ageMs: 100 * i - 2 * i }]), false);
  }
  assert.equal(report('b', failed), true, 'a second reporter makes the upstream count as lost');
});

const silent: readonly Suspicion[] = [{ id: u1, born: 1, ageMs: 0, isSilent: true }];

test('an upstream that is silent for a second or so, and goes on, is not lost, whoever reports it', async () => {
  const { clock, liveness, heartbeat, report } = fixture();
  const record = announcementOf('u1');
  for (let i = 0; i < 3; i += 1) {
    heartbeat();
    // The silence begins just before the next heartbeat is due.
    await clock.advance(1000);
    for (const atMs of [300, 500, 700]) {
      await clock.advance(atMs === 300 ? 300 : 200);
      for (const name of ['a', 'b', 'c', 'd']) report(name, silent);
      assert.equal(liveness.reporterCount(u1, 1), 4, 'entries avoid it');
      assert.equal(liveness.isLost(record), false, `${atMs} ms of silence ${i}`);
    }
    await clock.advance(700);
    assert.equal(liveness.isLost(record), false, `1400 ms of silence ${i}`);
    heartbeat();
    await clock.advance(2000);
  }
});

/** When an upstream counts as lost that is silent from `fromMs` on, also towards an entry. */
async function lostAt(fromMs: number, silentMs: number): Promise<number | undefined> {
  const { clock, liveness, heartbeat, report } = fixture();
  for (let now = 0; now < 8000; now += 20) {
    const isSilent = now >= fromMs && now < fromMs + silentMs;
    if (!isSilent && now % 1000 === 0) heartbeat();
    if (now % 200 === 0) report('a', isSilent && now >= fromMs + 800 ? silent : []);
    if (liveness.isLost(announcementOf('u1'))) return now;
    await clock.advance(20);
  }
  return undefined;
}

test('whenever a sound upstream falls silent, it is not lost; one that stays silent is', async () => {
  for (const silentMs of [1000, 1300, 1600]) {
    for (let fromMs = 1000; fromMs < 2000; fromMs += 100) {
      assert.equal(await lostAt(fromMs, silentMs), undefined, `${silentMs} ms from ${fromMs}`);
    }
  }
  const lost = await lostAt(1100, 60_000);
  assert.ok(lost !== undefined && lost <= 1000 + 3300);
});

test('an upstream that answers nobody is an outlier although it sends heartbeats', async () => {
  const { clock, liveness, heartbeat, report } = fixture();
  for (let i = 0; i < 5; i += 1) {
    assert.equal(liveness.isOutlier(u1, 1), false);
    heartbeat();
    await clock.advance(2000);
    report('a', silent);
  }
  assert.equal(liveness.isOutlier(u1, 1), true);
});

test('an upstream that is silent for a second or so is not lost for short intervals of heartbeats', async () => {
  const { clock, liveness, heartbeat } = fixture(600);
  heartbeat();
  // The silence begins just before the next heartbeat is due.
  await clock.advance(600 + 1400);
  assert.equal(liveness.isLost(announcementOf('u1')), false);
  await clock.advance(200);
  assert.equal(liveness.isLost(announcementOf('u1')), true);
});

test('demand is that of the entries that report it, and ends with their reports', async () => {
  const { clock, liveness, report } = fixture();
  const service = ServiceId('pool');
  report('a', [], [{ service, tokensPerSecond: [5, 1] }]);
  report('b', [], [{ service, tokensPerSecond: [5, 0, 2] }]);
  report('old', []);
  const services = [{ service, tokensPerSecond: [10, 1, 2] }];
  assert.deepEqual(liveness.demand, { reporters: 2, services });
  await clock.advance(3000);
  assert.deepEqual(liveness.demand, { reporters: 0, services: [] });
});
