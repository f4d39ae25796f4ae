import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId, RequestId, SuspendAwareClock, silentLogger } from '@tanagercart/base';
import { NamedLimits } from '../src/index.js';
import { PacerFleet, heldClockOf, upstream } from './fleet.js';
import { allowedRequests, mostInWindow } from './limitrule.js';

/** Least requests that entries should send in that time if there are more than enough. */
function expected(perSecond: number, forMs: number): number {
  return (perSecond * forMs * 0.85) / 1000;
}

for (const [count, perSecond] of [
  [8, 8],
  [8, 1.3],
  [68, 8],
  [68, 0.5],
  [400, 20],
] as const) {
  test(`${count} entries use a limit of ${perSecond} a second and do not exceed it`, async () => {
    const fleet = new PacerFleet(count);
    fleet.name({ kind: 'limited', perSecond });
    await fleet.offer(60, 20_000, 150);
    const most = mostInWindow(fleet.sentAt);
    assert.ok(most <= allowedRequests(perSecond), `${most} requests in 4 s`);
    assert.ok(fleet.sentAt.length >= expected(perSecond, 20_000), `${fleet.sentAt.length} in all`);
  });
}

test('a limit is kept and used while its owner is down, restarts and leaves', async () => {
  const fleet = new PacerFleet(8);
  fleet.name({ kind: 'limited', perSecond: 8 });
  await fleet.offer(40, 6000, 150);
  const [owner] = fleet.owners;
  fleet.kill(owner!);
  await fleet.offer(40, 3000, 150);
  fleet.unlist(owner!);
  await fleet.offer(40, 6000, 150);
  const most = mostInWindow(fleet.sentAt);
  assert.ok(most <= allowedRequests(8), `${most} requests in 4 s`);
  const whileDown = fleet.sentAt.filter((at) => at > 6500 && at < 9000).length;
  assert.ok(whileDown >= 8, `${whileDown} requests while the owner was down`);
});

test('a limit is kept where some entries reach its owner and others only the standby', async () => {
  const fleet = new PacerFleet(8);
  const [owner] = fleet.owners;
  const others = [...fleet.pacers.keys()].filter((n) => n !== owner);
  for (const node of others.slice(0, 4)) fleet.network.cut(node, owner!);
  fleet.name({ kind: 'limited', perSecond: 8 });
  await fleet.offer(40, 20_000, 150);
  const most = mostInWindow(fleet.sentAt);
  assert.ok(most <= allowedRequests(8), `${most} requests in 4 s`);
});

test('an entry that reaches no other entry uses its share of a limit', async () => {
  const fleet = new PacerFleet(8);
  const alone = [...fleet.pacers.keys()].find((n) => !fleet.owners.includes(n))!;
  for (const node of fleet.pacers.keys()) fleet.network.cut(alone, node);
  fleet.name({ kind: 'limited', perSecond: 16 });
  for (const node of [...fleet.pacers.keys()]) if (node !== alone) fleet.kill(node);
  await fleet.offer(20, 20_000, 150);
  const sent = fleet.sentAt.length;
  assert.ok(sent >= 20 && sent <= 42, `${sent} requests in 20 s at 2 a second`);
});

test('a permit that a process was held up with is not used after it has expired', async () => {
  const fleet = new PacerFleet(2);
  const [owner, other] = fleet.owners;
  let heldUpMs = 0;
  const late = () => fleet.clock.now() + heldUpMs;
  fleet.start(other!, { ...heldClockOf(fleet), now: late, latest: late });
  fleet.name({ kind: 'limited', perSecond: 2 });
  const sent = fleet.send(other!, 600);
  await fleet.clock.advance(400);
  for (let n = 0; n < 10; n += 1) void fleet.send(owner!, 10_000);
  heldUpMs = 5000;
  await fleet.clock.advance(110);
  assert.equal(await sent, 'refused', 'its permit was due at 500 ms, and the others are taken');
});

test('entries send freely again soon after a limit has ended', async () => {
  const fleet = new PacerFleet(8);
  fleet.name({ kind: 'limited', perSecond: 1 });
  await fleet.offer(40, 4000, 150);
  const [first] = [...fleet.pacers.keys()].filter((n) => !fleet.owners.includes(n));
  fleet.pacers.get(first!)!.record(RequestId('r'), upstream, { kind: 'unlimited' });
  await fleet.offer(40, 2000, 150);
  const before = fleet.sentAt.length;
  await fleet.offer(40, 1000, 150);
  assert.equal(fleet.sentAt.length - before, 40);
});

test('an upstream that takes nothing is tried now and then, so that its end is noticed', async () => {
  const fleet = new PacerFleet(8);
  fleet.name({ kind: 'limited', perSecond: 0 });
  await fleet.offer(40, 20_000, 150);
  const most = mostInWindow(fleet.sentAt);
  assert.ok(
    fleet.sentAt.length >= 3 && most <= allowedRequests(0),
    `${fleet.sentAt.length}, ${most}`,
  );
});

test('requests that may wait for longer get permits before those that may not', async () => {
  const fleet = new PacerFleet(2);
  const [a, b] = [NodeId('e0'), NodeId('e1')];
  fleet.name({ kind: 'limited', perSecond: 4 });
  const granted = { urgent: 0, patient: 0 };
  for (let n = 0; n < 100; n += 1) {
    for (const node of [a, b]) {
      void fleet.send(node, 100).then((kind) => {
        if (kind === 'granted') granted.patient += 1;
      });
    }
    if (n % 5 === 0) {
      void fleet.send(n % 2 === 0 ? a : b, 400).then((kind) => {
        if (kind === 'granted') granted.urgent += 1;
      });
    }
    await fleet.clock.advance(100);
  }
  await fleet.clock.advance(1000);
  assert.ok(granted.urgent >= 18, `${granted.urgent} of 20 urgent requests`);
  assert.ok(granted.patient >= 15, `${granted.patient} patient requests`);
});

test('the limit of an earlier incarnation, and news older than what is known, change nothing', async () => {
  const fleet = new PacerFleet(1);
  const [pacer] = fleet.pacers.values();
  pacer!.record(RequestId('r'), upstream, { kind: 'limited', perSecond: 1 });
  await fleet.clock.advance(100);
  const next = { ...upstream, born: 2 };
  pacer!.record(RequestId('r'), next, { kind: 'unlimited' });
  pacer!.record(RequestId('r'), upstream, { kind: 'limited', perSecond: 1 });
  const stop = new AbortController();
  for (let n = 0; n < 20; n += 1) {
    assert.equal((await pacer!.acquire(next, 0, stop.signal)).kind, 'granted');
  }
});

test('a malformed limit changes nothing', async () => {
  const fleet = new PacerFleet(1);
  fleet.name({ kind: 'malformed', text: 'few' });
  const [node] = fleet.pacers.keys();
  assert.equal(await fleet.send(node!, 0), 'granted');
});

test('a limit that varies slightly with each response is logged once and reported as no news', () => {
  const lines: string[] = [];
  const info = (message: string) => {
    lines.push(message);
  };
  const logger = { ...silentLogger, info };
  const limits = NamedLimits.create(HeldClock.create(), logger);
  const changes = [8, 8.1, 7.9, 8.2, 12].map((perSecond) =>
    limits.record({ upstream: upstream.id, born: 1, perSecond, ageMs: 0 }, {}),
  );
  assert.deepEqual(changes, [true, false, false, false, false]);
  assert.equal(lines.length, 2);
  assert.equal(limits.perSecondOf(upstream), 12);
});

test('no permit is due early because the wall clock of its owner stepped', async () => {
  const fleet = new PacerFleet(2);
  const [owner, other] = fleet.owners;
  fleet.start(owner!, SuspendAwareClock.create(fleet.clock));
  fleet.name({ kind: 'limited', perSecond: 2 });
  for (let n = 0; n < 40; n += 1) {
    void fleet.send(other!, 400);
    await fleet.clock.advance(100);
    fleet.clock.stepWall(3000);
  }
  const most = mostInWindow(fleet.sentAt);
  assert.ok(most <= allowedRequests(2), `${most} requests in 4 s`);
});
