/** Processor time of frequent operations of nodes. */

import {
  AccountId,
  HeldClock,
  ModelId,
  NodeId,
  RequestId,
  SeededRandom,
  TierId,
  UpstreamId,
  digestOf,
  silentLogger,
} from '@tanagercart/base';
import { AnswerWriter } from '@tanagercart/entry';
import { ConfigurationLease, History, UpstreamRegistry, rankOwners } from '@tanagercart/membership';
import { MemoryNetwork } from '@tanagercart/protocol';
import { missingParts } from '@tanagercart/placement';
import type { AcquireCall } from '@tanagercart/protocol';
import { Owner } from '@tanagercart/scheduling';
import { Proposer, encodeCommand } from '@tanagercart/state';
import {
  applyCommands,
  nodeCommands,
  replicaCommands,
  stateWithAccounts,
} from './capacitystate.js';
import { DispatchFleet, generationRequest } from './dispatchfleet.js';
import type { Point, Series } from './line.js';
import { processorTimeOf } from './meter.js';
import { account, noParts, note } from './notes.js';

/** Measured sizes. */
const answerLengths = [10, 40, 160];
const accountCounts = [1000, 4000, 11_000];
const replicaCounts = [8, 32, 128];
const queueLengths = [16, 64, 256];
const nodeCounts = [50, 100, 400];
const upstreamCounts = [400, 1200, 2400];

/** Slots per replica. */
const slots = 64;

/** Number of nodes of the plan. */
const plannedNodes = 400;

/** Repetitions per measurement. */
const requestCount = 300;
const eventCount = 20_000;
const noteCount = 40;
const grantCount = 100;
const heartbeatCount = 2000;
const placementRounds = 50;

/** Virtual time within which every measured request ends, in milliseconds. */
const answeredMs = 20_000;

/** Virtual time for which watching upstreams is measured, in milliseconds. */
const watchMs = 1000;

/** Measures each operation. */
export async function timeSeries(seed: number): Promise<readonly Series[]> {
  return [
    await series('request through dispatch', 'tokens', answerLengths, (n) => requestTime(n, seed)),
    await series('events written for callers', 'tokens', answerLengths, writeTime),
    await series('note applied', 'accounts', accountCounts, noteTime),
    await series('grant and release', 'replicas', replicaCounts, (n) => grantTime(n, 0, seed)),
    await series('grant with others waiting', 'waiting', queueLengths, (n) =>
      grantTime(1, n, seed),
    ),
    await series('heartbeat of an upstream', 'nodes', nodeCounts, (n) => heartbeatTime(n, seed)),
    await series('a second of watching', 'upstreams', upstreamCounts, (n) => watchTime(n, seed)),
    await series('a look of placement at rest', 'upstreams', upstreamCounts, placementTime),
  ];
}

async function series(
  name: string,
  per: string,
  sizes: readonly number[],
  cost: (size: number) => number | Promise<number>,
): Promise<Series> {
  const points: Point[] = [];
  // The first run of each size compiles the code, so it is not measured.
  for (const size of sizes) await cost(size);
  for (const size of sizes) points.push({ size, value: await cost(size) });
  return { name: `processor time, ${name}`, per, unit: 'us', points };
}

/** A request with an answer of this length, through dispatch with a fake owner and engine. */
async function requestTime(length: number, seed: number): Promise<number> {
  const size = { nodes: 1, replicas: 1, slots: requestCount };
  const fleet = DispatchFleet.create({ seed, ...size, crashes: () => false, bypassGates: true });
  const used = await processorTimeOf(async () => {
    const sent = Array.from({ length: requestCount }, (_, i) =>
      fleet.send(0, generationRequest(`request ${i}`, { maxTokens: length })),
    );
    await fleet.clock.advance(answeredMs);
    await Promise.all(sent);
  });
  return used / requestCount;
}

/** Writing the events of an answer of this length. */
async function writeTime(length: number): Promise<number> {
  const used = await processorTimeOf(() => {
    for (let done = 0; done < eventCount; done += length) {
      const writer = AnswerWriter.create('chat', 'answer', 'fig', 0);
      for (let n = 0; n < length; n += 1) Buffer.from(writer.tokenEvent(` token${n}`));
    }
  });
  return (used * length) / eventCount;
}

/** Decoding and applying a release note that changes one account, as every node does. */
async function noteTime(count: number): Promise<number> {
  const history = History.create();
  history.restore({ index: 1, bytes: stateWithAccounts(count).snapshot() });
  const commands = Array.from({ length: noteCount }, (_, i) => {
    const changed = { ...noParts, clientAccounts: [account(0, i + 2)] };
    const command = { kind: 'accept-release', note: note(i + 2, { changed }) } as const;
    return encodeCommand({ ...command, digest: digestOf(String(i)), at: 0 });
  });
  const used = await processorTimeOf(() => {
    commands.forEach((bytes, i) => history.apply(i + 2, bytes));
  });
  return used / noteCount;
}

/** A grant and its release by the owner of `count` replicas while `queued` requests wait. */
async function grantTime(count: number, queued: number, seed: number): Promise<number> {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(seed));
  const self = NodeId('n1');
  const entry = NodeId('n2');
  const state = applyCommands(stateWithAccounts(10), [
    ...nodeCommands(2),
    ...replicaCommands(count),
  ]);
  const fixed = { owns: () => true, canGrant: () => true, isLeaving: () => false };
  Owner.create({ self, state, clock, transport: network.attach(self), ...fixed });
  const transport = network.attach(entry);
  transport.serve('preempt', async () => ({ known: true }));
  const ask = (id: string) => transport.call(self, 'acquire', acquireCall(id), { timeoutMs: 1000 });
  const release = async (asked: ReturnType<typeof ask>) => {
    const reply = (await asked)._unsafeUnwrap();
    if (reply.kind !== 'granted') throw new Error(`no grant: ${JSON.stringify(reply)}`);
    const call = { grant: reply.grant.id, end: 'complete', tokens: 10 } as const;
    void transport.call(self, 'release', { ...call, firstTokenMs: 20 }, { timeoutMs: 1000 });
  };
  // With every slot taken, each request waits for the release of an earlier one.
  const first = queued > 0 ? slots * count : 1;
  const asked = Array.from({ length: first + queued }, (_, i) => ask(`request ${i}`));
  await clock.advance(2);
  const used = await processorTimeOf(async () => {
    for (let i = 0; i < grantCount; i += 1) {
      const released = release(asked.shift()!);
      asked.push(ask(`further ${i}`));
      await clock.advance(2);
      await released;
    }
  });
  return used / grantCount;
}

function acquireCall(id: string): AcquireCall {
  return {
    request: RequestId(id),
    attempt: 0,
    account: AccountId('account-1'),
    tier: TierId('now'),
    model: ModelId('fig'),
    version: '1',
    adapter: undefined,
    release: 1,
    prefix: [],
    promptTokens: 10,
    maxTokens: 200,
    budgetMs: 600_000,
    avoid: [],
  };
}

/** An announcement at the node that watches the upstream. */
async function heartbeatTime(count: number, seed: number): Promise<number> {
  const { registry } = createWatcher(count, 100, seed);
  const announcement = {
    id: UpstreamId('upstream-0-0'),
    incarnation: '0-0@0',
    url: 'http://10.0.0.0:9000',
    dataCentre: 'dc0',
    role: { kind: 'service', service: 'orders' },
    leaving: false,
  } as const;
  const used = await processorTimeOf(async () => {
    for (let i = 0; i < heartbeatCount; i += 1) await registry.handleAnnouncement(announcement);
  });
  return used / heartbeatCount;
}

/** One node's watch of its upstreams for a virtual second, with `count` upstreams in all. */
async function watchTime(count: number, seed: number): Promise<number> {
  const { registry, clock } = createWatcher(plannedNodes, count / 4, seed);
  const stop = new AbortController();
  const watch = registry.watch(stop.signal);
  const used = await processorTimeOf(() => clock.advance(watchMs));
  stop.abort();
  await watch;
  return (used * 1000) / watchMs;
}

/** A comparison of the layers on upstreams with those of the release, when none are missing. */
async function placementTime(count: number): Promise<number> {
  const state = applyCommands(stateWithAccounts(10), replicaCommands(count / 4));
  const used = await processorTimeOf(() => {
    for (let i = 0; i < placementRounds; i += 1) {
      if (missingParts(state, []).length > 0) throw new Error('nothing is lacking');
    }
  });
  return used / placementRounds;
}

function createWatcher(nodeCount: number, replicaCount: number, seed: number) {
  const clock = HeldClock.create();
  const history = History.create();
  const state = applyCommands(stateWithAccounts(10), [
    ...nodeCommands(nodeCount),
    ...replicaCommands(replicaCount),
  ]);
  history.restore({ index: state.index, bytes: state.snapshot() });
  const first = rankOwners(history.state, 'upstream-0-0', 'dc0')[0]!;
  const transport = MemoryNetwork.create(clock, SeededRandom.create(seed)).attach(first);
  const lease = ConfigurationLease.create(clock);
  lease.renew(Infinity);
  const proposer = Proposer.create(transport, clock, () => []);
  const parts = { history, proposer, transport, lease, clock, logger: silentLogger };
  return { clock, registry: UpstreamRegistry.create({ self: first, ...parts }) };
}
