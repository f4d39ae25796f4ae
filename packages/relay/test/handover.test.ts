import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Fleet } from '@tanagercart/fleet/test';
import type { UpstreamCrash } from '@tanagercart/protocol';
import { CrashMemory, FleetQuarantine } from '../src/index.js';

/** Time after the third crash by which a request is quarantined everywhere. */
const contactMs: Millis = 3000;

function crashOf(request: string, address: string): UpstreamCrash {
  return { request, address, parts: [], answered: [], attemptMs: 100, ageMs: 0 };
}

/** A fleet with three entries, each with its quarantine. */
async function start(seed: number, voters: readonly string[] = ['a', 'b', 'c']) {
  const fleet = await Fleet.start(seed, voters);
  const entries = ['e1', 'e2', 'e3'].map((name) => {
    const { view, watcher, stop } = fleet.startEntry(NodeId(name));
    const quarantine = FleetQuarantine.create(view, watcher, fleet.clock);
    const ending = new AbortController();
    void quarantine.run(ending.signal);
    const end = () => {
      stop();
      ending.abort();
    };
    return { view, quarantine, end };
  });
  await fleet.clock.advance(1500);
  const leaderId = () => [...fleet.nodes].find(([, node]) => node.isLeader)![0];
  /** Ends the leader by `how`, starts it again, and waits for another one. */
  const changeLeader = async (how: 'kill' | 'stop') => {
    const old = leaderId();
    if (how === 'stop') await fleet.settle(fleet.nodes.get(old)!.stop());
    fleet.kill(old);
    await fleet.waitUntil(() => fleet.leader !== undefined);
    fleet.startNode(old);
  };
  const areQuarantined = (request: string) =>
    entries.every(({ view }) => view.quarantined.has(request));
  return { fleet, entries, changeLeader, areQuarantined };
}

for (const how of ['kill', 'stop'] as const) {
  // Guards against crashes that are counted from 0 after each hand-over.
  test(`a request that crashes one upstream in each term is quarantined, where leaders end by ${how}`, async () => {
    const { fleet, entries, changeLeader, areQuarantined } = await start(51);
    for (let i = 0; i < 3; i += 1) {
      entries[i]!.quarantine.recordCrash(crashOf('deadly', `u${i}`));
      await fleet.clock.advance(400);
      if (i < 2) await changeLeader(how);
      if (i < 2) await fleet.clock.advance(4000);
    }
    await fleet.waitUntil(() => areQuarantined('deadly'), contactMs);
  });
}

test('crashes are counted over two hand-overs at once', async () => {
  const { fleet, entries, changeLeader, areQuarantined } = await start(52, [
    'a',
    'b',
    'c',
    'd',
    'e',
  ]);
  for (let i = 0; i < 2; i += 1) {
    entries[i]!.quarantine.recordCrash(crashOf('deadly', `u${i}`));
    await fleet.clock.advance(300);
  }
  await changeLeader('kill');
  await changeLeader('kill');
  entries[2]!.quarantine.recordCrash(crashOf('deadly', 'u2'));
  await fleet.waitUntil(() => areQuarantined('deadly'), contactMs);
});

/** Two crashes of a request, an answer to it, a hand-over, and two crashes more. */
async function playAnswer(seed: number, endsEntry: boolean) {
  const { fleet, entries, changeLeader } = await start(seed);
  const [first, second, third] = entries as [
    (typeof entries)[0],
    (typeof entries)[0],
    (typeof entries)[0],
  ];
  for (const [i, { quarantine }] of [first, third].entries()) {
    quarantine.recordCrash(crashOf('sound', `u${i}`));
    await fleet.clock.advance(300);
  }
  await fleet.waitUntil(() => second.quarantine.isSuspected('sound'));
  second.quarantine.recordAnswer('sound');
  await fleet.waitUntil(() => entries.every((e) => !e.quarantine.isSuspected('sound')));
  await fleet.clock.advance(300);
  if (endsEntry) second.end();
  await changeLeader('kill');
  await fleet.clock.advance(2000);
  for (const [i, { quarantine }] of [first, third].entries()) {
    quarantine.recordCrash(crashOf('sound', `u${i + 2}`));
    await fleet.clock.advance(300);
  }
  await fleet.clock.advance(contactMs);
  return entries.some(({ view }) => view.quarantined.has('sound'));
}

// Guards against sound requests that are condemned as a hand-over forgets their answers.
test('an answer before a hand-over takes off the crashes before it', async () => {
  assert.ok(!(await playAnswer(53, false)));
});

test('an answer counts after a hand-over though the entry that saw it is gone', async () => {
  assert.ok(!(await playAnswer(54, true)));
});

test('what an entry remembers of crashes and answers has bounds, and ends', () => {
  const memory = CrashMemory.create();
  for (let i = 0; i < 5000; i += 1) {
    memory.addCrash(crashOf(`r${i}`, 'u1'), i);
    memory.addAnswer(`s${i}`, i);
  }
  const { crashes, answers } = memory.unreported('1');
  assert.equal(crashes.length, 1000);
  assert.equal(answers.length, 1000);
  assert.equal(answers.at(-1)!.subject, 's4999');
  const state = { term: '1', suspects: new Set<string>(), quarantined: new Set<string>() };
  memory.recordLeader(state, 24 * 3600 * 1000);
  assert.deepEqual(memory.unreported('1'), { crashes: [], answers: [] });
});

test('what the leader has quarantined is not taken for answered', () => {
  const memory = CrashMemory.create();
  const record = (suspects: readonly string[], quarantined: readonly string[], term = '1') => {
    memory.recordLeader(
      { term, suspects: new Set(suspects), quarantined: new Set(quarantined) },
      100,
    );
    return memory.unreported('2').answers.map((a) => a.subject);
  };
  assert.deepEqual(record(['deadly', 'sound'], []), []);
  assert.deepEqual(record([], [], '2'), []);
  assert.deepEqual(record(['deadly', 'sound'], []), []);
  assert.deepEqual(record([], ['deadly']), ['sound']);
});

test('a crash of a request that was answered since is told to no new leader', () => {
  const memory = CrashMemory.create();
  for (const at of [100, 300]) memory.addCrash(crashOf('sound', 'u1'), at);
  memory.addCrash(crashOf('deadly', 'u1'), 100);
  memory.addAnswer('sound', 200);
  const told = memory.unreported('1').crashes.map(({ crash, at }) => [crash.request, at]);
  assert.deepEqual(told, [
    ['sound', 300],
    ['deadly', 100],
  ]);
});
