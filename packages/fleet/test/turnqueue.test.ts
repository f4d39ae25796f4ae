import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import { TurnQueue } from '../src/index.js';

/** A clock whose timers are late by `lateMs`, as in a process that is busy. */
function lateClock(clock: HeldClock, lateMs: Millis): Clock {
  return {
    now: () => clock.now(),
    latest: () => clock.latest(),
    wall: () => clock.wall(),
    sleep: (ms, signal) => clock.sleep(ms + lateMs, signal),
  };
}

/** Time after all machines are back from which on requests have to be served. */
const recoverMs: Millis = 15_000;

test('callers that give up on a busy leader and call again are not passed over for ever', async () => {
  const clock = HeldClock.create();
  const queue = TurnQueue.create<NodeId>(lateClock(clock, 150));
  const giveUpMs: Millis = 1500;
  const served = new Set<NodeId>();
  const follow = async (caller: NodeId) => {
    while (!served.has(caller)) {
      const turn = queue.wait(caller).then((mayPass) => mayPass && served.add(caller));
      await Promise.race([turn, clock.sleep(giveUpMs)]);
    }
  };
  for (let i = 0; i < 191; i += 1) void follow(NodeId(`entry-${i}`));
  await clock.advance(recoverMs);
  assert.equal(served.size, 191);
});

test('a caller that calls again keeps its place, and its earlier call ends at once', async () => {
  const clock = HeldClock.create();
  const queue = TurnQueue.create<NodeId>(clock);
  const passed: string[] = [];
  const call = (name: string, label: string) =>
    queue.wait(NodeId(name)).then((mayPass) => passed.push(`${label} ${mayPass}`));
  for (let i = 0; i < 3; i += 1) void queue.wait(NodeId(`first-${i}`));
  void call('a', 'a1');
  for (let i = 0; i < 3; i += 1) void call(`b${i}`, `b${i}`);
  void call('a', 'a2');
  await clock.advance(1);
  assert.deepEqual(passed, ['a1 false']);
  await clock.advance(10);
  assert.equal(passed[1], 'a2 true');
  assert.equal(passed.length, 5);
});
