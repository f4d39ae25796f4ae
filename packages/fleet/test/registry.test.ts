import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { HeldClock, ServiceId, UpstreamId, silentLogger } from '@tanagercart/base';
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
  const unconfigured = new Set<ServiceId>();
  const isConfigured = (service: ServiceId) => !unconfigured.has(service);
  const options = {
    ...{ voter, clock, logger: silentLogger, isPlacing: () => false },
    ...{ isConfigured, heartbeatMs },
  };
  const registry = UpstreamRegistry.create(options);
  let sequence = 0;
  const beat = (change: Partial<Announcement> = {}) => {
    sequence += 1;
    return registry.register(announcementOf('u1', { sequence, ...change }), liveness);
  };
  const record = () => state.upstreams.get(announcementOf('u1').id);
  return { clock, voter, state, liveness, registry, proposed, beat, record, unconfigured };
}

const foreignService = ServiceId('stock-of-another-house');

// Guards against a foreign writer whose single announcement takes an upstream out of use for good.
test('an announcement of a service that is not configured moves no record of another', async () => {
  const { clock, state, liveness, registry, beat, record, unconfigured } = start(0);
  unconfigured.add(foreignService);
  const tell = (change: Partial<Announcement>, id = 'x-1') =>
    registry.register(
      announcementOf(id, { service: foreignService, born: 9, ...change }),
      liveness,
    );
  void beat();
  await clock.advance(10);
  const { address } = record()!;
  // At its address, then with its id, there and elsewhere.
  for (const reply of [tell({ address }), tell({ address }, 'u1'), tell({ sequence: 99 }, 'u1')]) {
    await clock.advance(10);
    assert.equal((await reply).kind, 'accepted');
  }
  assert.deepEqual([record()?.phase, record()?.born], ['ready', 1]);
  void beat({ layers });
  await clock.advance(10);
  assert.deepEqual(record()?.layers, layers);
  void beat({ phase: 'draining' });
  await clock.advance(10);
  assert.equal(record()?.phase, 'draining');
  assert.equal(liveness.isLost(record()!), false);
  assert.equal(state.upstreams.get(UpstreamId('x-1'))?.phase, 'ready');
});

test('an upstream of a service that the next configuration has is used from then on', async () => {
  const { clock, state, liveness, registry, unconfigured } = start(0);
  unconfigured.add(foreignService);
  const early = announcementOf('e1', { service: foreignService, sequence: 1 });
  void registry.register(early, liveness);
  await clock.advance(10);
  assert.equal(state.upstreams.get(early.id)?.phase, 'ready');
  unconfigured.clear();
  void registry.register({ ...early, sequence: 2 }, liveness);
  await clock.advance(10);
  assert.equal(liveness.isLost(state.upstreams.get(early.id)!), false);
});

test('a new upstream at the address of one that crashed takes its place, and a late heartbeat changes nothing', async () => {
  const { clock, state, liveness, registry, beat, record } = start(0);
  void beat();
  await clock.advance(500);
  const { address, service } = record()!;
  const restarted = announcementOf('u2', { address, service, born: 7 });
  void registry.register(restarted, liveness);
  await clock.advance(10);
  assert.equal(record()?.phase, 'gone');
  for (let i = 0; i < 3; i += 1) {
    void beat();
    await clock.advance(10);
  }
  assert.equal(record()?.phase, 'gone');
  assert.equal(state.upstreams.get(restarted.id)?.phase, 'ready');
});

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

/** A registry in which `u1` is gone, as another upstream has announced itself once at its address. */
async function startReplaced() {
  const started = start(0);
  const { clock, state, liveness, registry, beat, record } = started;
  void beat();
  await clock.advance(500);
  const { address, service } = record()!;
  const other = announcementOf('u2', { address, service, born: 7 });
  const beatOther = (sequence: number) => registry.register({ ...other, sequence }, liveness);
  void beatOther(1);
  await clock.advance(10);
  assert.equal(record()?.phase, 'gone');
  return { ...started, beatOther, otherRecord: () => state.upstreams.get(other.id) };
}

// Guards against an upstream that stays out of use by the word of another while it sends heartbeats.
test('an upstream that another replaced and that goes on sending heartbeats is taken back', async () => {
  const { clock, beat, record } = await startReplaced();
  let beats = 0;
  for (; record()?.phase === 'gone' && beats < 20; beats += 1) {
    await clock.advance(heartbeatMs);
    void beat();
    await clock.advance(10);
  }
  assert.equal(record()?.phase, 'ready');
  assert.ok(beats <= 8, `${beats} heartbeats`);
  void beat({ phase: 'draining' });
  await clock.advance(10);
  assert.equal(record()?.phase, 'draining');
});

test('an upstream is not taken back while the one that replaced it sends heartbeats', async () => {
  const { clock, beat, beatOther, record, otherRecord } = await startReplaced();
  for (let i = 2; i < 12; i += 1) {
    await clock.advance(heartbeatMs);
    void beatOther(i);
    void beat();
    await clock.advance(10);
  }
  assert.deepEqual([record()?.phase, otherRecord()?.phase], ['gone', 'ready']);
});

test('a burst of late heartbeats takes back no upstream that another replaced', async () => {
  const { clock, beat, record } = await startReplaced();
  await clock.advance(10 * heartbeatMs);
  for (let i = 0; i < 6; i += 1) {
    void beat();
    await clock.advance(50);
  }
  await clock.advance(10 * heartbeatMs);
  assert.equal(record()?.phase, 'gone');
});

test('an upstream that another replaced and that deregisters is not taken back', async () => {
  const { clock, liveness, registry, beat, record } = await startReplaced();
  void registry.deregister({ id: record()!.id, born: 1 }, liveness);
  await clock.advance(10);
  for (let i = 0; i < 10; i += 1) {
    await clock.advance(heartbeatMs);
    void beat();
    await clock.advance(10);
  }
  assert.equal(record()?.phase, 'gone');
});

// Guards against a foreign writer that ends an upstream by a deregistration without an incarnation.
test('an upstream that is deregistered without its incarnation is taken back if it goes on', async () => {
  const { clock, liveness, registry, beat, record } = start(0);
  void beat();
  await clock.advance(500);
  const { id } = record()!;
  const deregistered = registry.deregister({ id, born: undefined }, liveness);
  await clock.advance(10);
  assert.equal((await deregistered).kind, 'accepted');
  assert.equal(record()?.phase, 'gone');
  // Late ones change nothing, nor does its drain.
  for (let i = 0; i < 3; i += 1) void beat();
  void beat({ phase: 'draining' });
  await clock.advance(8 * heartbeatMs);
  assert.equal(record()?.phase, 'gone');
  for (let i = 0; i < 6; i += 1) {
    void beat();
    await clock.advance(heartbeatMs);
  }
  assert.equal(record()?.phase, 'ready');
  void registry.deregister({ id, born: 1 }, liveness);
  await clock.advance(10);
  for (let i = 0; i < 6; i += 1) {
    void beat();
    await clock.advance(heartbeatMs);
  }
  assert.equal(record()?.phase, 'gone');
});
