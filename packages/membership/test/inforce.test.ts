import assert from 'node:assert/strict';
import { test } from 'node:test';
import { emptyNote, finish, startCluster, until } from './cluster.js';

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
    const silent = c.all().find((m) => !m.member.raft)!;
    const submitted = c.submit(c.leader()!, emptyNote(1));
    c.isolate(silent);
    const { index } = (await finish(c, submitted))._unsafeUnwrap();
    const spread = await finish(c, c.leader()!.progress.waitUntilInForce(index, 6000));
    assert.equal(spread.kind, 'in-force');
    const stale = c.all().filter((m) => m.control.lease.valid && m.history.state.index < index);
    assert.deepEqual(stale, []);
    assert.equal(silent.history.state.release.number, 0);
    await c.stop();
  }
});

test('a node that comes back from silence goes on under the new release', async () => {
  const c = await cluster();
  const silent = c.all().find((m) => !m.member.raft)!;
  c.isolate(silent);
  await finish(c, c.submit(c.leader()!, emptyNote(1)));
  await c.clock.advance(4000);
  assert.equal(silent.control.lease.valid, false);
  assert.equal(c.leader()!.history.state.nodes.has(silent.id), false);
  c.net.heal();
  await c.clock.advance(4000);
  assert.equal(silent.history.state.release.number, 1);
  assert.equal(silent.control.lease.valid, true);
  assert.equal(c.leader()!.history.state.nodes.has(silent.id), true);
  await c.stop();
});

test('of two notes with one number submitted at once, one wins and the other is told so', async () => {
  const c = await cluster();
  const [a, b] = c.all().filter((m) => !m.member.raft);
  const both = Promise.all([c.submit(a!, emptyNote(1, 'ann')), c.submit(b!, emptyNote(1, 'bea'))]);
  const outcomes = (await finish(c, both)).map((r) => r._unsafeUnwrap().outcome);
  assert.deepEqual(outcomes.map((o) => o.kind).sort(), ['release-accepted', 'release-conflict']);
  const winner = outcomes[0]!.kind === 'release-accepted' ? 'ann' : 'bea';
  const again = await finish(c, c.submit(b!, emptyNote(1, winner)));
  const { outcome } = again._unsafeUnwrap();
  assert.equal(outcome.kind === 'release-accepted' && outcome.resend, true);
  await c.stop();
});

test('a change of leader lets no lease lapse', async () => {
  for (const seed of [1, 2, 3, 10]) {
    const c = await cluster(16, seed);
    const old = c.leader()!;
    c.isolate(old);
    const others = c.all().filter((m) => m !== old);
    let lapsed = 0;
    for (let ms = 0; ms < 5000; ms += 50) {
      await c.clock.advance(50);
      lapsed += others.filter((m) => !m.control.lease.valid).length;
    }
    assert.equal(lapsed, 0, `seed ${seed}`);
    assert.equal(old.control.lease.valid, false);
    await c.stop();
  }
});

test('a note goes on being spread when the leader is lost right after accepting it', async () => {
  const c = await cluster(12);
  const old = c.leader()!;
  const { index } = (await finish(c, c.submit(old, emptyNote(1))))._unsafeUnwrap();
  await old.kill();
  c.members.delete(old.id);
  const [other] = c.all().filter((m) => !m.member.raft);
  const spread = await finish(c, other!.progress.waitUntilInForce(index, 6000));
  assert.equal(spread.kind, 'in-force');
  const stale = c.all().filter((m) => m.control.lease.valid && m.history.state.index < index);
  assert.deepEqual(stale, []);
  await c.stop();
});

test('nodes below a relay that dies keep their leases', async () => {
  const c = await startCluster({ names: names(24), voters });
  const relay = c
    .all()
    .find((m) => m !== c.leader() && c.all().some((x) => x.control.position.path.at(-1) === m.id))!;
  await relay.kill();
  c.members.delete(relay.id);
  let lapsed = 0;
  for (let ms = 0; ms < 4000; ms += 50) {
    await c.clock.advance(50);
    lapsed += c.all().filter((m) => !m.control.lease.valid).length;
  }
  assert.equal(lapsed, 0);
  assert.equal(c.leader()!.history.state.nodes.size, 23);
  await c.stop();
});

test('a node that starts again is not taken for its old self', async () => {
  const c = await cluster();
  const old = c.all().find((m) => !m.member.raft)!;
  const before = c.leader()!.history.state.nodes.get(old.id)!.incarnation;
  await old.kill();
  c.members.set(old.id, c.start(old.id));
  const now = () => c.leader()!.history.state.nodes.get(old.id)?.incarnation;
  await until(c, () => now() !== before && now() !== undefined);
  assert.notEqual(now(), before);
  assert.equal(c.leader()!.history.state.isSuperseded(old.id, before), true);
  await c.stop();
});

test('a note submitted through any node gets past a voter that fell silent', async () => {
  const c = await cluster();
  const silent = c.all().find((m) => m.member.raft && m !== c.leader())!;
  c.isolate(silent);
  const [other] = c.all().filter((m) => !m.member.raft);
  const from = c.clock.now();
  const { index } = (await finish(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap();
  const spread = await finish(c, other!.progress.waitUntilInForce(index, 6000));
  assert.equal(spread.kind, 'in-force');
  assert.ok(c.clock.now() - from < 6000);
  await c.stop();
});

test('a note submitted while the leader is cut off is accepted once by the next one', async () => {
  const c = await cluster();
  c.isolate(c.leader()!);
  const [other] = c.all().filter((m) => !m.member.raft);
  const { outcome } = (await finish(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap();
  assert.equal(outcome.kind, 'release-accepted');
  const again = (await finish(c, c.submit(other!, emptyNote(1))))._unsafeUnwrap().outcome;
  assert.deepEqual(again, { ...outcome, resend: true });
  await c.stop();
});
