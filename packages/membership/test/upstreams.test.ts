import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamId } from '@tanagercart/base';
import { finish, startCluster, until } from './cluster.js';
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

/** Announces `id` until stopped, where it is told to, and else at any node that can be reached. */
function announcer(c: Cluster, id: string, reaches: (m: Member) => boolean = () => true) {
  let running = true;
  let targets: readonly string[] = [];
  const run = async () => {
    while (running) {
      const told = targets.map((url) => memberAt(c, url)).filter(Boolean);
      const at = [...told, ...c.all()].find(reaches);
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

test('an upstream announced at any node is recorded and sent to its watcher', async () => {
  const c = await cluster();
  const reply = await finish(c, c.all()[4]!.upstreams.handleAnnouncement(announcement('u1')));
  assert.equal(reply!.to.length, 3);
  await until(c, () => c.all().every((m) => isUp(m, 'u1')), 2000);
  assert.ok(c.all().every((m) => isUp(m, 'u1')));
  await c.stop();
});

test('an upstream that falls silent is recorded as down, one that goes on is not', async () => {
  const c = await cluster();
  const stops = ['u1', 'u2', 'u3', 'u4', 'u5'].map((id) => announcer(c, id));
  await c.clock.advance(10_000);
  stops[0]!();
  const took = await until(c, () => !isUp(c.leader()!, 'u1'));
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

test('three seconds after a leave no node gives it work, not even one that is cut off', async () => {
  for (const cutOff of names) {
    const c = await cluster();
    const stop = announcer(c, 'u1');
    await c.clock.advance(3000);
    stop();
    const alone = c.members.get(cutOff)!;
    c.isolate(alone);
    const other = c.all().find((m) => m !== alone)!;
    const from = c.clock.now();
    const reply = await finish(c, other.upstreams.handleAnnouncement(announcement('u1', true)));
    if (!reply) await finish(c, other.upstreams.handleAnnouncement(announcement('u1', true)));
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

test('a leave that cannot be recorded is not confirmed, and is final once it is', async () => {
  const c = await cluster();
  const stop = announcer(c, 'u1');
  await c.clock.advance(3000);
  stop();
  const alone = c.members.get('n5')!;
  c.isolate(alone);
  assert.equal(
    await finish(c, alone.upstreams.handleAnnouncement(announcement('u1', true))),
    undefined,
  );
  c.net.heal();
  const [one, two] = c.all();
  assert.ok(await finish(c, one!.upstreams.handleAnnouncement(announcement('u1', true))));
  await finish(c, two!.upstreams.handleAnnouncement(announcement('u1')));
  await c.clock.advance(3000);
  assert.equal(isUp(c.leader()!, 'u1'), false);
  await c.stop();
});

test('an isolated watcher declares no upstream dead', async () => {
  const c = await cluster();
  const ids = Array.from({ length: 24 }, (_, i) => `u${i}`);
  let alone: Member | undefined;
  const stops = ids.map((id) => announcer(c, id, (m) => m !== alone));
  await c.clock.advance(6000);
  alone = c.members.get('n5')!;
  c.isolate(alone);
  let missing = 0;
  for (let ms = 0; ms < 12_000; ms += 100) {
    await c.clock.advance(100);
    missing += ids.filter((id) => !isUp(c.leader()!, id)).length;
    if (ms === 8000) {
      c.net.heal();
      alone = undefined;
    }
  }
  assert.equal(missing, 0);
  stops.forEach((stop) => stop());
  await c.stop();
});

test('many announcements at once make few proposals', async () => {
  const c = await cluster();
  const before = c.leader()!.history.state.index;
  const all = Array.from({ length: 240 }, (_, i) => announcement(`u${i}`));
  await finish(c, Promise.all(all.map((a, i) => c.all()[i % 5]!.upstreams.handleAnnouncement(a))));
  await until(c, () => c.leader()!.history.state.upstreams.size === 240, 3000);
  assert.equal(c.leader()!.history.state.upstreams.size, 240);
  const proposals = c.leader()!.history.state.index - before;
  assert.ok(proposals <= 15, `${proposals}`);
  await c.stop();
});

test('a changed holding is recorded under the same start, an unchanged one once', async () => {
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
  const say = async (versions: string[]) => {
    const a = { ...announcement('u1'), role: { ...role, versions } };
    await finish(c, c.all()[0]!.upstreams.handleAnnouncement(a));
    await c.clock.advance(1000);
  };
  const known = () => c.leader()!.history.state.upstreams.get(UpstreamId('u1'))?.role;
  await say(['1']);
  const { index } = c.leader()!.history.state;
  await say(['1']);
  assert.equal(c.leader()!.history.state.index, index);
  await say(['1', '2']);
  const { kind, ...stage } = role;
  assert.deepEqual(known(), { kind, stage: { ...stage, versions: ['1', '2'] } });
  await c.stop();
});
