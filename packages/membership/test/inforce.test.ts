import assert from 'node:assert/strict';
import { test } from 'node:test';
import { advanceUntil, emptyNote, settle, startCluster } from './cluster.js';

const names = (n: number) => Array.from({ length: n }, (_, i) => `n${i + 1}`);
const voters = ['n1', 'n2', 'n3'];
const dataCentreOf = (name: string) => ['north', 'east', 'west'][Number(name.slice(1)) % 3]!;
const cluster = (n = 8, seed = 1) => startCluster({ names: names(n), voters, dataCentreOf, seed });

test('every node is recorded and holds a lease', async () => {
  const c = await cluster(24);
  assert.equal(c.leader()!.history.state.nodes.size, 24);
  assert.deepEqual(
    c.all().filter((m) => !m.control.lease.valid),
    [],
  );
  await c.stop();
});

test('a note is in force only once no node takes work under the old release', async () => {
  for (const seed of [1, 2, 3]) {
    const c = await cluster(12, seed);
    const isolated = c.all().find((m) => !m.member.raft)!;
    const submitted = c.submit(c.leader()!, emptyNote(1));
    c.isolate(isolated);
    const { index } = (await settle(c, submitted))._unsafeUnwrap();
    const spread = await settle(c, c.leader()!.progress.waitUntilInForce(index, 6000));
    assert.equal(spread.kind, 'in-force');
    const stale = c.all().filter((m) => m.control.lease.valid && m.history.state.index < index);
    assert.deepEqual(stale, []);
    assert.equal(isolated.history.state.release.number, 0);
    await c.stop();
  }
});

test('a node that was isolated resumes work under the new release', async () => {
  const c = await cluster();
  const isolated = c.all().find((m) => !m.member.raft)!;
  c.isolate(isolated);
  await settle(c, c.submit(c.leader()!, emptyNote(1)));
  await c.clock.advance(4000);
  assert.equal(isolated.control.lease.valid, false);
  assert.equal(c.leader()!.history.state.nodes.has(isolated.id), false);
  c.net.heal();
  await c.clock.advance(4000);
  assert.equal(isolated.history.state.release.number, 1);
  assert.equal(isolated.control.lease.valid, true);
  assert.equal(c.leader()!.history.state.nodes.has(isolated.id), true);
  await c.stop();
});

test('of two notes submitted at once under one number, one is accepted and one conflicts', async () => {
  const c = await cluster();
  const [a, b] = c.all().filter((m) => !m.member.raft);
  const both = Promise.all([c.submit(a!, emptyNote(1, 'ann')), c.submit(b!, emptyNote(1, 'bea'))]);
  const outcomes = (await settle(c, both)).map((r) => r._unsafeUnwrap().outcome);
  assert.deepEqual(outcomes.map((o) => o.kind).sort(), ['release-accepted', 'release-conflict']);
  const winner = outcomes[0]!.kind === 'release-accepted' ? 'ann' : 'bea';
  const again = await settle(c, c.submit(b!, emptyNote(1, winner)));
  const { outcome } = again._unsafeUnwrap();
  assert.equal(outcome.kind === 'release-accepted' && outcome.resend, true);
  await c.stop();
});

test('no lease expires during a change of leader, except that of the old leader', async () => {
  for (const seed of [1, 2, 3, 10]) {
    const c = await cluster(16, seed);
    const old = c.leader()!;
    c.isolate(old);
    const others = c.all().filter((m) => m !== old);
    let expired = 0;
    for (let ms = 0; ms < 5000; ms += 50) {
      await c.clock.advance(50);
      expired += others.filter((m) => !m.control.lease.valid).length;
    }
    assert.equal(expired, 0, `seed ${seed}`);
    assert.equal(old.control.lease.valid, false);
    await c.stop();
  }
});

test('a note comes into force when the leader is lost right after accepting it', async () => {
  const c = await cluster(12);
  const old = c.leader()!;
  const { index } = (await settle(c, c.submit(old, emptyNote(1))))._unsafeUnwrap();
  await old.kill();
  c.members.delete(old.id);
  const [other] = c.all().filter((m) => !m.member.raft);
  const spread = await settle(c, other!.progress.waitUntilInForce(index, 6000));
  assert.equal(spread.kind, 'in-force');
  const stale = c.all().filter((m) => m.control.lease.valid && m.history.state.index < index);
  assert.deepEqual(stale, []);
  await c.stop();
});

test('nodes below a relay that crashes keep their leases', async () => {
  const c = await startCluster({ names: names(24), voters });
  const relay = c
    .all()
    .find((m) => m !== c.leader() && c.all().some((x) => x.control.position.path.at(-1) === m.id))!;
  await relay.kill();
  c.members.delete(relay.id);
  let expired = 0;
  for (let ms = 0; ms < 4000; ms += 50) {
    await c.clock.advance(50);
    expired += c.all().filter((m) => !m.control.lease.valid).length;
  }
  assert.equal(expired, 0);
  assert.equal(c.leader()!.history.state.nodes.size, 23);
  await c.stop();
});

test('a restarted node is recorded under its new incarnation', async () => {
  const c = await cluster();
  const old = c.all().find((m) => !m.member.raft)!;
  const before = c.leader()!.history.state.nodes.get(old.id)!.incarnation;
  await old.kill();
  c.members.set(old.id, c.start(old.id));
  const now = () => c.leader()!.history.state.nodes.get(old.id)?.incarnation;
  await advanceUntil(c, () => now() !== before && now() !== undefined);
  assert.notEqual(now(), before);
  assert.equal(c.leader()!.history.state.isSuperseded(old.id, before), true);
  await c.stop();
});

test('a note submitted while a voter is silent comes into force in time', async () => {
  const c = await cluster();
  const isolated = c.all().find((m) => m.member.raft && m !== c.leader())!;
  c.isolate(isolated);
  const [other] = c.all().filter((m) => !m.member.raft);
  const from = c.clock.now();
  const { index } = (await settle(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap();
  const spread = await settle(c, other!.progress.waitUntilInForce(index, 6000));
  assert.equal(spread.kind, 'in-force');
  assert.ok(c.clock.now() - from < 6000);
  await c.stop();
});

test('a note submitted while the leader is cut off is accepted once by the next leader', async () => {
  const c = await cluster();
  c.isolate(c.leader()!);
  const [other] = c.all().filter((m) => !m.member.raft);
  const { outcome } = (await settle(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap();
  assert.equal(outcome.kind, 'release-accepted');
  const again = (await settle(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap().outcome;
  assert.deepEqual(again, { ...outcome, resend: true });
  await c.stop();
});
