import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { HeldClock, silentLogger } from '@tanagercart/base';
import type { Announcement, UpstreamRecord } from '@tanagercart/protocol';
import { FleetState, Liveness, UpstreamRegistry, encodeCommand } from '../src/index.js';
import type { Command } from '../src/index.js';
import { announcementOf } from './fleet.js';

const heartbeatMs = 1200;
const layers = { from: 4, to: 8 };

/** A registry whose log takes `commitMs` to commit a command. */
function start(commitMs: number) {
  const clock = HeldClock.create();
  const state = FleetState.create();
  const proposed: Command[] = [];
  const voter = {
    state,
    propose: async (command: Command) => {
      proposed.push(command);
      await clock.sleep(commitMs);
      state.apply(state.index + 1, encodeCommand(command));
      return ok({ kind: 'done' } as const);
    },
  };
  const liveness = Liveness.create(clock, heartbeatMs);
  const options = { voter, clock, logger: silentLogger, isPlacing: () => false };
  const registry = UpstreamRegistry.create(options);
  let sequence = 0;
  const beat = (change: Partial<Announcement> = {}) => {
    sequence += 1;
    return registry.register(announcementOf('u1', { sequence, ...change }), liveness);
  };
  const record = () => state.upstreams.get(announcementOf('u1').id);
  return { clock, voter, liveness, registry, proposed, beat, record };
}

test('a heartbeat that comes again before its change is committed is proposed once', async () => {
  const { clock, proposed, beat, record } = start(500);
  const replies = [beat(), beat(), beat()];
  await clock.advance(600);
  for (const reply of replies) assert.equal((await reply).kind, 'accepted');
  assert.equal(proposed.length, 1);
  void beat({ phase: 'draining' });
  void beat({ phase: 'draining' });
  await clock.advance(600);
  assert.equal(proposed.length, 2);
  assert.equal(record()?.phase, 'draining');
});

test('a heartbeat that was sent before the layers were placed does not take them away', async () => {
  const { clock, voter, liveness, registry, beat, record } = start(2000);
  void beat();
  await clock.advance(2100);
  // The upstream has loaded its layers, and their record takes long to commit.
  const records: UpstreamRecord[] = [{ ...record()!, layers }];
  const committed = voter.propose({ kind: 'upstreams', records });
  await clock.advance(2100);
  await committed;
  registry.markPlaced(record()!, liveness);
  await clock.advance(1600);
  void beat();
  await clock.advance(2100);
  assert.deepEqual(record()?.layers, layers);
  void beat({ layers });
  await clock.advance(heartbeatMs);
  void beat({ layers });
  await clock.advance(heartbeatMs);
  // From now on, its own word counts again.
  void beat({ layers: { from: 0, to: 4 } });
  await clock.advance(2100);
  assert.deepEqual(record()?.layers, { from: 0, to: 4 });
});

test('the counts of an incarnation before do not hide what an upstream says after its restart', async () => {
  const { clock, liveness, registry, beat, record } = start(0);
  void beat({ sequence: 300 });
  await clock.advance(10);
  registry.markPlaced(record()!, liveness);
  await clock.advance(heartbeatMs * 2);
  void beat({ born: 2, sequence: 1 });
  await clock.advance(heartbeatMs);
  void beat({ born: 2, sequence: 2, layers });
  await clock.advance(heartbeatMs);
  assert.deepEqual(record()?.layers, layers);
});

// Guards against an acknowledgement that rests on a later announcement, whose commit is under way
// or fails.
test('an overtaken announcement that an upstream leaves is accepted once the log says so', async () => {
  const { clock, beat, record } = start(500);
  void beat();
  await clock.advance(600);
  void beat({ phase: 'draining', sequence: 9 });
  let accepted = false;
  void beat({ phase: 'draining', sequence: 8 }).then(() => {
    accepted = true;
  });
  await clock.advance(400);
  assert.deepEqual([accepted, record()?.phase], [false, 'ready']);
  await clock.advance(200);
  assert.deepEqual([accepted, record()?.phase], [true, 'draining']);
});
