import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamId } from '@tanagercart/base';
import { advanceUntil, settle, startCluster } from './cluster.js';
import type { Cluster, Member } from './cluster.js';

const voters = ['n1', 'n2', 'n3'];
const names = ['n1', 'n2', 'n3', 'n4', 'n5'];
const cluster = () => startCluster({ names, voters });

const announcement = (id: string, leaving = false) => ({
  id: UpstreamId(id),
  incarnation: '1',
  url: 'http://127.0.0.1:1',
  dataCentre: 'north',
  role: { kind: 'service', service: 'orders' } as const,
  leaving,
});

const isUp = (m: Member, id: string) => m.history.state.upstreams.has(UpstreamId(id));
const inService = (m: Member, id: string) =>
  m.control.lease.valid && isUp(m, id) && !m.upstreams.isLeaving(UpstreamId(id));
const memberAt = (c: Cluster, url: string) => c.all().find((m) => url === `http://${m.id}`)!;

/**
 * Announces `id` until the returned function is called: at a node that the last reply named, or
 * else at any node that is reachable.
 */
function startAnnouncing(c: Cluster, id: string, isReachable: (m: Member) => boolean = () => true) {
  let running = true;
  let targets: readonly string[] = [];
  const run = async () => {
    while (running) {
      const named = targets.map((url) => memberAt(c, url)).filter(Boolean);
      const at = [...named, ...c.all()].find(isReachable);
      const reply = at && (await at.upstreams.handleAnnouncement(announcement(id)));
      targets = reply?.to ?? [];
      await c.clock.sleep(500);
    }
  };
  void run();
  return () => {
    running = false;
  };
}

test('an upstream announced at any node is recorded, and directed to its watcher', async () => {
  const c = await cluster();
  const reply = await settle(c, c.all()[4]!.upstreams.handleAnnouncement(announcement('u1')));
  assert.equal(reply!.to.length, 3);
  await advanceUntil(c, () => c.all().every((m) => isUp(m, 'u1')), 2000);
  assert.ok(c.all().every((m) => isUp(m, 'u1')));
  await c.stop();
});

test('only an upstream that falls silent is recorded as down', async () => {
  const c = await cluster();
  const stops = ['u1', 'u2', 'u3', 'u4', 'u5'].map((id) => startAnnouncing(c, id));
  await c.clock.advance(10_000);
  stops[0]!();
  const took = await advanceUntil(c, () => !isUp(c.leader()!, 'u1'));
  assert.ok(took <= 3500, `${took}`);
  await c.clock.advance(10_000);
  assert.deepEqual([...c.leader()!.history.state.upstreams.keys()].sort(), [
    'u2',
    'u3',
    'u4',
    'u5',
  ]);
  stops.forEach((stop) => stop());
  await c.stop();
});

test('three seconds after an upstream leaves no node uses it, not even one that is cut off', async () => {
  for (const cutOff of names) {
    const c = await cluster();
    const stop = startAnnouncing(c, 'u1');
    await c.clock.advance(3000);
    stop();
    const isolated = c.members.get(cutOff)!;
    c.isolate(isolated);
    const other = c.all().find((m) => m !== isolated)!;
    const from = c.clock.now();
    const reply = await settle(c, other.upstreams.handleAnnouncement(announcement('u1', true)));
    if (!reply) await settle(c, other.upstreams.handleAnnouncement(announcement('u1', true)));
    await c.clock.advance(Math.max(0, from + 3000 - c.clock.now()));
    assert.deepEqual(
      c
        .all()
        .filter((m) => inService(m, 'u1'))
        .map((m) => m.id),
      [],
      cutOff,
    );
    await c.stop();
  }
});

test('a leave is confirmed only once it is recorded, and is final from then on', async () => {
  const c = await cluster();
  const stop = startAnnouncing(c, 'u1');
  await c.clock.advance(3000);
  stop();
  const isolated = c.members.get('n5')!;
  c.isolate(isolated);
  assert.equal(
    await settle(c, isolated.upstreams.handleAnnouncement(announcement('u1', true))),
    undefined,
  );
  c.net.heal();
  const [one, two] = c.all();
  assert.ok(await settle(c, one!.upstreams.handleAnnouncement(announcement('u1', true))));
  await settle(c, two!.upstreams.handleAnnouncement(announcement('u1')));
  await c.clock.advance(3000);
  assert.equal(isUp(c.leader()!, 'u1'), false);
  await c.stop();
});

test('an isolated watcher records no upstream as down', async () => {
  const c = await cluster();
  const ids = Array.from({ length: 24 }, (_, i) => `u${i}`);
  let isolated: Member | undefined;
  const stops = ids.map((id) => startAnnouncing(c, id, (m) => m !== isolated));
  await c.clock.advance(6000);
  isolated = c.members.get('n5')!;
  c.isolate(isolated);
  let missing = 0;
  for (let ms = 0; ms < 12_000; ms += 100) {
    await c.clock.advance(100);
    missing += ids.filter((id) => !isUp(c.leader()!, id)).length;
    if (ms === 8000) {
      c.net.heal();
      isolated = undefined;
    }
  }
  assert.equal(missing, 0);
  stops.forEach((stop) => stop());
  await c.stop();
});

test('many announcements at once share a few proposals', async () => {
  const c = await cluster();
  const before = c.leader()!.history.state.index;
  const all = Array.from({ length: 240 }, (_, i) => announcement(`u${i}`));
  await settle(c, Promise.all(all.map((a, i) => c.all()[i % 5]!.upstreams.handleAnnouncement(a))));
  await advanceUntil(c, () => c.leader()!.history.state.upstreams.size === 240, 3000);
  assert.equal(c.leader()!.history.state.upstreams.size, 240);
  const proposals = c.leader()!.history.state.index - before;
  assert.ok(proposals <= 15, `${proposals}`);
  await c.stop();
});

test('a changed role is recorded under the same incarnation, an unchanged one only once', async () => {
  const c = await cluster();
  const role = {
    kind: 'stage' as const,
    model: 'fig',
    adapters: [] as string[],
    from: 0,
    to: 4,
    accelerator: 'a',
    tokensPerSecond: 99.5,
    slots: 4,
  };
  const announce = async (versions: string[]) => {
    const a = { ...announcement('u1'), role: { ...role, versions } };
    await settle(c, c.all()[0]!.upstreams.handleAnnouncement(a));
    await c.clock.advance(1000);
  };
  const recordedRole = () => c.leader()!.history.state.upstreams.get(UpstreamId('u1'))?.role;
  await announce(['1']);
  const { index } = c.leader()!.history.state;
  await announce(['1']);
  assert.equal(c.leader()!.history.state.index, index);
  await announce(['1', '2']);
  const { kind, ...stage } = role;
  assert.deepEqual(recordedRole(), { kind, stage: { ...stage, versions: ['1', '2'] } });
  await c.stop();
});
