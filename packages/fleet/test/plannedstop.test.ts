import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@tanagercart/base';
import { NodeId } from '@tanagercart/base';
import { Fleet, documentOf } from './fleet.js';

const four = ['a', 'b', 'c', 'd'].map(NodeId);

/** Bound on a planned stop, of the 8 s that it may take; a leader that hands over takes part of it. */
const stopMs: Millis = 6000;
const returnMs: Millis = 3000;

/** Whether the leader counts a node among the voters, and the node hears from the leader. */
function votes(fleet: Fleet, id: NodeId): boolean {
  const { leader } = fleet;
  return leader !== undefined && leader.voters.includes(id) && fleet.nodes.get(id)!.isVoter;
}

async function startVoters(seed: number, names: readonly NodeId[]): Promise<Fleet> {
  const fleet = await Fleet.start(seed, names);
  await fleet.waitUntil(() => names.every((id) => votes(fleet, id)));
  return fleet;
}

/** Stops nodes as planned; returns how long it took until all have stopped. */
async function stopAll(
  fleet: Fleet,
  ids: readonly NodeId[],
  meanwhile?: () => void,
): Promise<Millis> {
  const from = fleet.clock.now();
  let stopped = false;
  void Promise.all(ids.map((id) => fleet.nodes.get(id)!.stop())).then(() => {
    stopped = true;
  });
  meanwhile?.();
  await fleet.waitUntil(() => stopped, stopMs);
  for (const id of ids) fleet.kill(id);
  return fleet.clock.now() - from;
}

/** Stops a node as planned; returns how long it took. */
function stop(fleet: Fleet, id: NodeId): Promise<Millis> {
  return stopAll(fleet, [id]);
}

function followersOf(fleet: Fleet): readonly NodeId[] {
  return [...fleet.nodes.keys()].filter((id) => !fleet.nodes.get(id)!.isLeader);
}

// Guards against a rolling restart that leaves a set of four short of a voter, or without a leader.
test('voters that restart one after the other leave, and the set bears a loss beside each stop', async () => {
  for (const seed of [91, 92]) {
    const fleet = await startVoters(seed, four);
    for (const id of four) {
      await stop(fleet, id);
      await fleet.waitUntil(() => fleet.leader !== undefined, 500);
      assert.equal(fleet.leader!.voters.length, 3);
      const lost = followersOf(fleet)[0]!;
      fleet.kill(lost);
      const done = await fleet.settle(fleet.leader!.submit(documentOf(7)));
      assert.equal(done.unwrapOr(-1), 7);
      for (const back of [lost, id]) fleet.startNode(back);
      await fleet.waitUntil(() => four.every((n) => votes(fleet, n)), returnMs);
    }
  }
});

// Guards against a leader that stays away from the others while it asks to leave.
test('a leader that stops has a successor before its stop ends', async () => {
  for (const names of [four, four.slice(0, 3), four.slice(0, 2)]) {
    const fleet = await startVoters(93, names);
    const old = [...fleet.nodes].find(([, n]) => n.isLeader)![0];
    await stop(fleet, old);
    const isLed = [...fleet.nodes.values()].some((n) => n.leader !== undefined && n.leader !== old);
    assert.ok(isLed, `${names.length} voters`);
    const size = fleet.leader?.voters.length ?? fleet.nodes.values().next().value!.voters.length;
    assert.equal(size, names.length === 4 ? 3 : names.length);
  }
});

// Guards against a handover to a voter that is lost at that moment, which kept the others without a leader.
test('a leader that stops passes over a voter that is lost at the same moment', async () => {
  for (const at of [0, 1, 2]) {
    const fleet = await startVoters(100 + at, four);
    const [old] = [...fleet.nodes].find(([, n]) => n.isLeader)!;
    const lost = followersOf(fleet)[at]!;
    assert.ok((await stopAll(fleet, [old], () => fleet.wipe(lost))) < 1000);
    assert.ok(fleet.leader);
  }
});

// Guards against a planned stop that waits for an answer which nobody can give.
test('a voter that cannot leave stops within the bound', async () => {
  const fleet = await startVoters(94, four);
  const [stopping, ...others] = followersOf(fleet) as [NodeId, ...NodeId[]];
  for (const id of [...others, ...fleet.nodes.keys()]) if (id !== stopping) fleet.kill(id);
  assert.ok((await stop(fleet, stopping)) <= 4500);
});

// Guards against a lost reply, by which a voter stops before it has left.
test('a voter leaves although messages are lost', async () => {
  for (const seed of [95, 96, 97]) {
    const fleet = await startVoters(seed, four);
    fleet.network.setQuality({ delayMs: 5, jitterMs: 5, loss: 0.2 });
    const [stopping] = followersOf(fleet);
    await stop(fleet, stopping!);
    await fleet.waitUntil(() => fleet.leader?.voters.length === 3, 300);
  }
});

// Guards against a stop that waits for a leader of an earlier version, which does not know the request.
test('a voter stops at once where the leader is of an earlier version', async () => {
  const fleet = await startVoters(98, four);
  const [leader] = [...fleet.nodes].find(([, n]) => n.isLeader)!;
  const reply = async () => ({ leader, voters: four });
  fleet.network.transportOf(leader)!.serve('join', reply);
  assert.ok((await stop(fleet, followersOf(fleet)[0]!)) < 1000);
});

// Guards against leaders that hand over to one another while all voters stop.
test('voters that all stop at once stop within the bound, and lead again after their start', async () => {
  const fleet = await startVoters(99, four);
  const done = await fleet.settle(fleet.leader!.submit(documentOf(7)));
  assert.equal(done.unwrapOr(-1), 7);
  await stopAll(fleet, four);
  for (const id of four) fleet.startNode(id);
  await fleet.waitUntil(() => four.every((id) => votes(fleet, id)), 6000);
  const read = await fleet.settle(fleet.leader!.readDocument());
  assert.equal(read._unsafeUnwrap().version, 7);
});
