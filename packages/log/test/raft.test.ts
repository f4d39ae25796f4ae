import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import { MemoryStore, Raft, defaultTiming } from '../src/index.js';

const names = ['a', 'b', 'c'].map(NodeId);

function cluster(seed: number) {
  const clock = HeldClock.create();
  const random = SeededRandom.create(seed);
  const network = MemoryNetwork.create(clock, random);
  const applied = new Map<NodeId, string[]>(names.map((n) => [n, []]));
  const voter = (self: NodeId) =>
    Raft.create({
      self,
      voters: names,
      transport: network.attach(self),
      store: MemoryStore.create(),
      machine: {
        apply: (_, bytes) => {
          applied.get(self)!.push(Buffer.from(bytes).toString());
          return bytes;
        },
      },
      clock,
      random,
      timing: defaultTiming,
      logger: silentLogger,
      onBroken: (e) => {
        throw e;
      },
    });
  const voters = names.map(voter);
  const leader = () => voters.filter((v) => v.role === 'leader' && v.holdsLease);
  return { clock, network, voters, applied, leader };
}

const text = (s: string) => Buffer.from(s);

test('three voters elect one leader and apply a command everywhere', async () => {
  const c = cluster(1);
  await c.clock.advance(3000);
  assert.equal(c.leader().length, 1);
  void c.leader()[0]!.propose(text('x'));
  await c.clock.advance(1000);
  assert.deepEqual([...c.applied.values()], [['x'], ['x'], ['x']]);
});

test('a leader that is cut off loses its lease, and the others go on without it', async () => {
  const c = cluster(2);
  await c.clock.advance(3000);
  const old = c.leader()[0]!;
  const self = old.leader!;
  for (const other of names.filter((n) => n !== self)) {
    c.network.cut(self, other);
    c.network.cut(other, self);
  }
  await c.clock.advance(3000);
  assert.equal(old.holdsLease, false);
  assert.equal(c.leader().length, 1);
  void c.leader()[0]!.propose(text('y'));
  c.network.heal();
  await c.clock.advance(3000);
  assert.deepEqual([...c.applied.values()], [['y'], ['y'], ['y']]);
});
