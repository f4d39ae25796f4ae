import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import { HeldClock, NodeId, ServiceId, UpstreamId, silentLogger } from '@tanagercart/base';
import { deltaOf } from '@tanagercart/config';
import type { Configuration } from '@tanagercart/config';
import { compressDocument, encode } from '@tanagercart/protocol';
import type { Bulletin, DocumentUpdate, LimitNotice, Transport } from '@tanagercart/protocol';
import { FleetView, LeaderClient } from '../src/index.js';
import type { ViewOptions, Watcher } from '../src/index.js';
import { Fleet, announcementOf, configuration, documentOf } from './fleet.js';

/** The options of a view on the clock of a fleet. */
function viewOptions({ clock }: Fleet): ViewOptions {
  const parse = (text: string) => JSON.parse(text) as Configuration;
  return { clock, logger: silentLogger, leaseMs: 2650, parse, onLimits: () => undefined };
}

async function withEntry(seed: number, polls = false) {
  const fleet = await Fleet.start(seed);
  const self = NodeId('entry');
  return { fleet, self, ...fleet.startEntry(self, { polls }) };
}

test('an entry receives documents and upstreams soon after they are accepted', async () => {
  const { fleet, view } = await withEntry(21);
  const [node] = fleet.nodes.values();
  for (const version of [3, 4, 5]) {
    await fleet.settle(node!.submit(documentOf(version)));
    await fleet.waitUntil(() => view.document.version === version, 500);
    assert.equal(view.document.text, documentOf(version).text);
  }
  await fleet.heartbeat(['u1'], { phase: 'draining' });
  const { id } = announcementOf('u1');
  await fleet.waitUntil(() => view.upstreams.get(id)?.phase === 'draining', 500);
});

test('every control node lists the entries', async () => {
  const { fleet } = await withEntry(22);
  await fleet.waitUntil(() => [...fleet.nodes.values()].every((n) => n.entries.length === 1));
});

test('a view ages while its entry is partitioned, and is confirmed again afterwards', async () => {
  const { fleet, view, self } = await withEntry(23);
  await fleet.waitUntil(() => view.ageMs < 1000);
  for (const id of fleet.nodes.keys()) {
    fleet.network.cut(self, id);
    fleet.network.cut(id, self);
  }
  await fleet.clock.advance(4000);
  assert.ok(view.ageMs > 3000);
  fleet.network.heal();
  await fleet.waitUntil(() => view.ageMs < 1000);
});

test('an entry follows a new leader and keeps the document in force', async () => {
  const { fleet, view } = await withEntry(24);
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(8)));
  await fleet.waitUntil(() => view.document.version === 8);
  const leader = [...fleet.nodes].find(([, n]) => n.isLeader)![0];
  fleet.kill(leader);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  await fleet.waitUntil(() => view.ageMs < 500);
  assert.equal(view.document.version, 8);
});

test('a limit that one entry was told of reaches the others and those that start later', async () => {
  const fleet = await Fleet.start(31);
  const { id, born } = announcementOf('u1');
  const told = { upstream: id, born, perSecond: 2, ageMs: 0 };
  let named: readonly LimitNotice[] = [told];
  fleet.startEntry(NodeId('first'), { limits: () => named });
  const learned = new Map<string, number | undefined>();
  const learner = (node: string) => ({
    onLimits: (notices: readonly LimitNotice[]) => {
      for (const n of notices) learned.set(node, n.perSecond);
    },
  });
  fleet.startEntry(NodeId('second'), learner('second'));
  await fleet.waitUntil(() => learned.get('second') === 2, 700);
  fleet.startEntry(NodeId('late'), learner('late'));
  await fleet.waitUntil(() => learned.get('late') === 2, 700);
  named = [{ ...told, perSecond: undefined }];
  const ended = () => ['second', 'late'].every((n) => learned.get(n) === undefined);
  await fleet.waitUntil(ended, 700);
});

test('a request is quarantined at entries after three crashes that several entries report', async () => {
  const { fleet, view, watcher } = await withEntry(25);
  const others = ['second', 'third'].map((name) => fleet.startEntry(NodeId(name)).watcher);
  const crash = { request: 'f1', parts: [], answered: [], attemptMs: 20, ageMs: 0 };
  const report = (by: Watcher) => fleet.settle(by.reportCrash({ crash, answered: [] }));
  for (const by of others) {
    assert.ok(await report(by));
    await fleet.clock.advance(1000);
    assert.equal(view.quarantined.has('f1'), false);
  }
  assert.deepEqual([...view.suspects], ['f1']);
  assert.ok(await report(watcher));
  await fleet.waitUntil(() => view.quarantined.has('f1'), 500);
});

test('a part of prompts that crashes upstreams in sequence is quarantined at entries', async () => {
  const { fleet, view, watcher } = await withEntry(28);
  const crash = { parts: ['common', 'deadly'], answered: [], attemptMs: 20, ageMs: 0 };
  const report = (answered: readonly string[]) => watcher.reportCrash({ crash, answered });
  for (let i = 0; i < 2; i += 1) {
    assert.ok(await fleet.settle(report(['common'])));
    await fleet.clock.advance(300);
    assert.deepEqual([...view.suspects].sort(), ['common', 'deadly']);
    assert.equal(view.quarantined.size, 0);
  }
  assert.ok(await fleet.settle(report(['common'])));
  await fleet.waitUntil(() => view.quarantined.has('deadly'), 500);
  assert.equal(view.quarantined.has('common'), false);
  assert.equal(view.suspects.size, 0);
});

test('an entry suspects a silent upstream, even if it sends it no requests', async () => {
  const { fleet, view } = await withEntry(31);
  await fleet.runFor(['u1', 'u2'], 2000);
  const silent = () => view.upstreams.get(UpstreamId('u1'))!;
  assert.equal(view.suspectedAt(silent()), undefined);
  await fleet.runFor(['u2'], 6000);
  for (let i = 0; i < 10; i += 1) {
    assert.notEqual(view.suspectedAt(silent()), undefined);
    await fleet.runFor(['u2'], 1000);
  }
  await fleet.runFor(['u1', 'u2'], 1500);
  assert.equal(view.suspectedAt(silent()), undefined);
});

test('an entry is informed when an upstream becomes slow and when it recovers', async () => {
  const { fleet, view } = await withEntry(26, true);
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(3)));
  const ids = ['u1', 'u2', 'u3', 'u4', 'u5'];
  await fleet.runFor(ids, 4000);
  const { id } = announcementOf('u2');
  fleet.upstreams.slow.set(id, 5);
  await fleet.runFor(ids, 3000);
  assert.equal(view.slownessOf(id), 5);
  assert.equal(view.slownessOf(announcementOf('u1').id), 1);
  fleet.upstreams.slow.delete(id);
  await fleet.runFor(ids, 3000);
  assert.equal(view.slownessOf(id), 1);
});

/** Starts `count` entries, and counts the calls of each of them to the leader. */
async function withEntries(seed: number, count: number) {
  const fleet = await Fleet.start(seed);
  const calls = new Map<NodeId, number>();
  for (let i = 0; i < count; i += 1) {
    const node = NodeId(`entry-${i}`);
    fleet.startEntry(node, { onCall: () => calls.set(node, (calls.get(node) ?? 0) + 1) });
  }
  await fleet.clock.advance(500);
  return { fleet, calls };
}

test('changes in quick succession are sent to a large fleet in batches', async () => {
  const entries = 12;
  const { fleet, calls } = await withEntries(27, entries);
  const before = new Map(calls);
  const from = fleet.clock.now();
  for (let i = 0; i < 30; i += 1) {
    await fleet.heartbeat([`u${i}`]);
    await fleet.clock.advance(5);
  }
  // One reply takes the leader about 2 ms on a small machine.
  const max = Math.ceil((fleet.clock.now() - from) / (2 * entries)) + 1;
  for (const [node, count] of calls) assert.ok(count - before.get(node)! <= max, `${count} calls`);
});

/** A transport on which node `a` stops replying, as a frozen machine does, without a reset. */
function silentNodeTransport(clock: HeldClock): Transport {
  const update = {
    kind: 'update',
    index: 1,
    whole: true,
    upstreams: [],
    document: undefined,
    quarantined: [],
    bulletin: encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [] }),
  } as const;
  return {
    serve: () => undefined,
    call: async (to, _, __, { timeoutMs }) => {
      if (to !== NodeId('a')) return ok(update);
      await clock.sleep(timeoutMs);
      return err({ kind: 'timeout' });
    },
  };
}

// A call that waits for a frozen leader has to end in time to find the next leader.
test('an entry with a held call finds the next leader when the last one freezes', async () => {
  const clock = HeldClock.create();
  const transport = silentNodeTransport(clock);
  const nodes = ['a', 'b', 'c'].map(NodeId);
  const client = LeaderClient.create({ transport, clock, candidates: () => nodes });
  const holdMs = 1000;
  let reply: Awaited<ReturnType<typeof ask>> | undefined;
  const ask = () => client.call('watch', { since: 0 } as never, 1500, { holdMs });
  const search = async () => {
    while (!reply?.isOk()) reply = await ask();
  };
  void search();
  await clock.advance(2000);
  assert.ok(
    reply?.isOk(),
    'no leader was found in the time in which a configuration has to arrive',
  );
  assert.equal(client.leader, 'b');
});

test('a leader that is late with its first reply is waited for once another node names it', async () => {
  const clock = HeldClock.create();
  const [leader, follower, silent] = ['a', 'b', 'c'].map(NodeId);
  const calls: NodeId[] = [];
  const transport: Transport = {
    serve: () => undefined,
    call: async (to, _, __, { timeoutMs }) => {
      calls.push(to);
      if (to === follower) return ok({ kind: 'not-leader', leader });
      await clock.sleep(to === leader ? Math.min(timeoutMs, 1200) : timeoutMs);
      return to === leader && timeoutMs > 1200 ? ok({ kind: 'adopted' }) : err({ kind: 'timeout' });
    },
  };
  const candidates = () => [leader!, follower!, silent!];
  const client = LeaderClient.create({ transport, clock, candidates });
  let isFound = false;
  const found = client.call('adoption', { version: 1 }, 1500, { patienceMs: 4000 });
  void found.then((reply) => {
    isFound = reply.isOk();
  });
  await clock.advance(3000);
  assert.ok(isFound, `called ${calls.join(' ')}`);
});

test('a first reply of the leader counts though the search has turned to a node that is silent', async () => {
  const clock = HeldClock.create();
  const [leader, silent] = ['a', 'b'].map(NodeId);
  const transport: Transport = {
    serve: () => undefined,
    call: async (to, _, __, { timeoutMs }) => {
      await clock.sleep(to === leader ? Math.min(timeoutMs, 1000) : timeoutMs);
      return to === leader && timeoutMs > 1000 ? ok({ kind: 'adopted' }) : err({ kind: 'timeout' });
    },
  };
  const client = LeaderClient.create({ transport, clock, candidates: () => [leader!, silent!] });
  let isFound = false;
  const found = client.call('adoption', { version: 1 }, 1500, { patienceMs: 4000 });
  void found.then((reply) => {
    isFound = reply.isOk();
  });
  await clock.advance(1100);
  assert.ok(isFound);
});

test('a search that a late reply has ended keeps no call open and asks no other node', async () => {
  const clock = HeldClock.create();
  const [late, follower, silent] = ['a', 'b', 'c'].map(NodeId);
  let calls = 0;
  const transport: Transport = {
    serve: () => undefined,
    call: async (to, _, __, { timeoutMs, signal }) => {
      calls += 1;
      if (to === follower) return ok({ kind: 'not-leader', leader: silent });
      await clock.sleep(to === late ? Math.min(timeoutMs, 1000) : timeoutMs, signal);
      return to === late && timeoutMs > 1000 ? ok({ kind: 'adopted' }) : err({ kind: 'timeout' });
    },
  };
  const candidates = () => [late!, follower!, silent!];
  const client = LeaderClient.create({ transport, clock, candidates });
  void client.call('adoption', { version: 1 }, 1500, { patienceMs: 4000 });
  await clock.advance(1100);
  assert.equal(client.leader, late);
  calls = 0;
  await clock.advance(5000);
  assert.equal(calls, 0);
  assert.equal(client.leader, late);
});

/** A document whose only service is called `name`. */
function documentWith(version: number, name: string) {
  const base = configuration(version);
  return {
    version,
    text: JSON.stringify({ ...base, services: [{ id: 'first' }, { id: name }, { id: 'last' }] }),
  };
}

// An entry that drains reports to the leader while its usual call is held: two replies may cross.
test('a late reply to an earlier call does not mix two documents or bring old records back', async () => {
  const clock = HeldClock.create();
  const view = FleetView.create({
    clock,
    logger: silentLogger,
    leaseMs: 4000,
    parse: (text) => JSON.parse(text) as Configuration,
    onLimits: () => undefined,
  });
  const [first, second, third] = [
    documentWith(1, 'one'),
    documentWith(2, 'two'),
    documentWith(3, 'one'),
  ] as const;
  const bulletin = encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [] });
  const phases = ['ready', 'draining', 'draining'] as const;
  const apply = (index: number, update: DocumentUpdate, base: number) =>
    view.apply(
      {
        kind: 'update',
        index,
        whole: base === 0,
        upstreams: [announcementOf('u1', { phase: phases[index - 1]! })],
        document: compressDocument(update),
        quarantined: undefined,
        bulletin,
      },
      clock.now(),
      { loads: [], documentVersion: base },
    );
  const deltaFrom = ({ text }: typeof first, to: typeof first): DocumentUpdate => ({
    kind: 'delta',
    version: to.version,
    delta: deltaOf(text, to.text),
  });
  assert.ok(apply(1, { kind: 'whole', ...first }, 0));
  assert.ok(apply(2, deltaFrom(first, second), 1));
  await clock.advance(3000);
  apply(3, deltaFrom(first, third), 1);
  if (view.document.version === 3) assert.equal(view.document.text, third.text);
  else {
    assert.equal(view.document.text, second.text);
    assert.equal(view.ageMs, 3000, 'what lacks the newest document is not confirmed by it');
    assert.equal(view.index, 2);
  }
  assert.ok(apply(1, deltaFrom(first, second), 1));
  assert.equal(view.upstreams.get(UpstreamId('u1'))?.phase, 'draining');
  assert.ok(apply(3, deltaFrom(second, third), 2));
  assert.equal(view.document.text, third.text);
});

test('a reply confirms the state as of its end, but never beyond the present', async () => {
  const { fleet, view } = await withEntry(75);
  await fleet.clock.advance(3000);
  const update = { kind: 'update', whole: false, upstreams: [], document: undefined } as const;
  const call = { loads: [], documentVersion: view.document.version };
  const bulletin = encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [] });
  const reply = { ...update, index: view.index, quarantined: undefined, bulletin };
  const ageAfter = (sentAgoMs: number, heldMs?: number) => {
    const [fresh, now] = [FleetView.create(viewOptions(fleet)), fleet.clock.now()];
    fresh.apply(heldMs === undefined ? reply : { ...reply, heldMs }, now - sentAgoMs, call);
    return fresh.ageMs;
  };
  assert.equal(ageAfter(900, 700), 200);
  assert.equal(ageAfter(900, 5000), 0);
  assert.equal(ageAfter(900), 900, 'a leader of an earlier version does not say for how long');
});

test('an entry learns the transfers of the others, and none from a leader that is older or lost', async () => {
  const fleet = await Fleet.start(76);
  const service = ServiceId('pool');
  const [one, two] = [NodeId('one'), NodeId('two')];
  const transfersOf = (bytes: number) => ({ transfers: [{ service, bytes }] });
  const { view, stop } = fleet.startEntry(one, transfersOf(10));
  const other = fleet.startEntry(two, transfersOf(32));
  await fleet.waitUntil(() => view.transfersOf(service)?.others === 32, 2000);
  assert.deepEqual(view.transfersOf(service), { own: 10, others: 32 });
  assert.deepEqual(view.transfersOf(ServiceId('other')), { own: 0, others: 0 });
  other.stop();
  await fleet.waitUntil(() => view.transfersOf(service)?.others === 0, 4000);
  stop();
  await fleet.clock.advance(4000);
  assert.equal(view.transfersOf(service), undefined);
  const bulletin = encode({ entries: [], voters: [], loads: [], suspicions: [], slow: [] });
  const update = { kind: 'update', index: view.index, whole: false, upstreams: [] } as const;
  const rest = { document: undefined, quarantined: undefined, bulletin };
  const call = { loads: [], documentVersion: 0 };
  assert.ok(view.apply({ ...update, ...rest }, fleet.clock.now(), call));
  assert.equal(view.transfersOf(service), undefined);
});

test('a caller of an earlier version receives the whole state as records', async () => {
  const fleet = await Fleet.start(27);
  await fleet.heartbeat(['u1']);
  const [leader] = [...fleet.nodes].find(([, n]) => n.isLeader)!;
  const call = {
    entry: undefined,
    loads: [],
    suspicions: [],
    since: 0,
    documentVersion: 0,
    waitMs: 0,
  };
  const earlier = fleet.network.attach(NodeId('earlier'));
  const reply = await fleet.settle(earlier.call(leader, 'watch', call, { timeoutMs: 1000 }));
  const update = reply._unsafeUnwrap();
  assert.ok(update.kind === 'update' && update.packedState === undefined);
  assert.deepEqual(
    update.upstreams.map((u) => u.id),
    ['u1'],
  );
});

/** Number of calls that an entry sends within `ms`, while `disturb` happens ten times. */
async function callsWhile(seed: number, disturb: (fleet: Fleet, i: number) => void) {
  const fleet = await Fleet.start(seed);
  let calls = 0;
  fleet.startEntry(NodeId('entry'), {
    onCall: () => {
      calls += 1;
    },
  });
  await fleet.settle([...fleet.nodes.values()][0]!.submit(documentOf(3)));
  await fleet.clock.advance(2000);
  calls = 0;
  for (let i = 0; i < 10; i += 1) {
    disturb(fleet, i);
    await fleet.clock.advance(200);
  }
  return calls;
}

test('a read of the document ends no call of an entry', async () => {
  const usual = await callsWhile(28, () => undefined);
  const calls = await callsWhile(28, (fleet) => {
    for (const node of fleet.nodes.values()) void node.readDocument();
  });
  assert.equal(calls, usual);
});

test('an entry that starts ends no call of another entry', async () => {
  const usual = await callsWhile(29, () => undefined);
  const calls = await callsWhile(29, (fleet, i) => {
    fleet.startEntry(NodeId(`other-${i}`));
  });
  assert.ok(calls <= usual, `${calls} calls in place of ${usual}`);
});

/** A reply with the whole state, made when the log had `index` entries. */
function wholeReply(index: number, change: Partial<Bulletin> = {}) {
  const none = { entries: [], voters: [], loads: [], suspicions: [], slow: [] };
  return {
    kind: 'update',
    index,
    whole: true,
    upstreams: [announcementOf('u1', { born: index })],
    document: undefined,
    heldMs: 0,
    quarantined: [],
    bulletin: encode({ ...none, ...change }),
  } as const;
}

const emptyCall = { loads: [], documentVersion: 0 };

test('a late reply does not bring old records back, and a log that was formed anew does', async () => {
  const fleet = await Fleet.start(76);
  const { clock } = fleet;
  const view = FleetView.create(viewOptions(fleet));
  const bornOf = () => view.upstreams.get(UpstreamId('u1'))?.born;
  const earlierAt = clock.now();
  await clock.advance(3000);
  view.apply(wholeReply(9), clock.now(), emptyCall);
  view.apply(wholeReply(7), earlierAt, emptyCall);
  assert.equal(bornOf(), 9);
  await clock.advance(100);
  view.apply(wholeReply(2), clock.now(), emptyCall);
  assert.equal(bornOf(), 2);
});

test('what a late reply tells is as old as the reply', async () => {
  const fleet = await Fleet.start(77);
  const { clock } = fleet;
  let limits: readonly LimitNotice[] = [];
  const onLimits = (notices: readonly LimitNotice[]) => {
    limits = notices;
  };
  const view = FleetView.create({ ...viewOptions(fleet), onLimits });
  const { id, born } = announcementOf('u1', { born: 5 });
  const news = {
    suspicions: [{ id, born, ageMs: 100 }],
    limits: [{ upstream: id, born, perSecond: 2, ageMs: 100 }],
  };
  const sentAt = clock.now();
  await clock.advance(3000);
  view.apply(wholeReply(5, news), sentAt, emptyCall);
  assert.equal(view.suspectedAt(view.upstreams.get(id)!), sentAt - 100);
  assert.deepEqual(
    limits.map((n) => n.ageMs),
    [3100],
  );
});
