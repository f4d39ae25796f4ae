/** A cluster in memory under a manual clock: real voters, leases and followers, but no callers. */

import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  TaskGroup,
  digestOf,
  silentLogger,
} from '@tanagercart/base';
import { DiskStore, MemoryDisk, Raft, defaultLimits, defaultTiming } from '@tanagercart/log';
import { MemoryNetwork, decode, encode } from '@tanagercart/protocol';
import type { StateSnapshot } from '@tanagercart/protocol';
import { Proposer } from '@tanagercart/state';
import type { ReleaseCommand } from '@tanagercart/state';
import {
  Control,
  History,
  Ownership,
  ProgressClient,
  UpstreamRegistry,
  defaultLeaseTiming,
  leaderFirst,
  submitReleaseNote,
} from '../src/index.js';

type ReleaseNote = ReleaseCommand['note'];

const noChanges = { priceLists: [], clientAccounts: [], models: [], services: [] };

/** A release note that changes only the number of the release. */
export const emptyNote = (number: number, author = 'ops'): ReleaseNote => ({
  number,
  author,
  added: noChanges,
  changed: noChanges,
  withdrawn: noChanges,
});

const rethrow = (error: unknown) => {
  throw error;
};

function startMember(
  net: MemoryNetwork,
  clock: HeldClock,
  name: string,
  o: ClusterOptions,
  disks: Map<string, MemoryDisk>,
) {
  const id = NodeId(name);
  const transport = net.attach(id);
  const history = History.create();
  const stop = new AbortController();
  const tasks = TaskGroup.create(rethrow);
  const voters = o.voters.map(NodeId);
  const leaderRef = { leader: (): NodeId | undefined => undefined };
  const votersToAsk = () => leaderFirst(voters, leaderRef.leader());
  const proposer = Proposer.create(transport, clock, votersToAsk);
  const member = { draining: false, raft: undefined as Raft | undefined };
  const dataCentre = DataCentreId(o.dataCentreOf?.(name) ?? 'north');
  const control = Control.create({
    self: () => ({ id, dataCentre, peer: '', entry: `http://${name}` }),
    incarnation: `${name}@${clock.now()}`,
    transport,
    history,
    proposer,
    leadership: {
      isLeader: () => member.raft?.holdsLease === true,
      leader: () => member.raft?.leader,
    },
    clock,
    timing: defaultLeaseTiming,
    logger: silentLogger,
    draining: () => member.draining,
    seeds: () => voters,
  });
  const startVoter = async () => {
    const disk = disks.get(name)?.crash(net.random) ?? MemoryDisk.create();
    disks.set(name, disk);
    const opened = await DiskStore.open({ disk, random: net.random, logger: silentLogger });
    if (stop.signal.aborted) return;
    member.raft = Raft.create({
      self: id,
      initialVoters: voters,
      transport,
      store: opened._unsafeUnwrap(),
      stateMachine: {
        apply: (index, bytes) => {
          control.commitTimes.record(index, clock.now());
          return encode(history.apply(index, bytes));
        },
        snapshot: () => encode({ index: history.state.index, bytes: history.state.snapshot() }),
        restore: (data) => history.restore(decode<StateSnapshot>(data)),
      },
      clock,
      random: net.random,
      timing: defaultTiming,
      limits: defaultLimits,
      logger: silentLogger,
      onBroken: rethrow,
    });
  };
  if (voters.includes(id)) tasks.start(startVoter);
  transport.serve('propose', async (_, { bytes }) => {
    if (!member.raft) return { kind: 'not-leader', leader: undefined };
    const applied = await member.raft.propose(bytes);
    if (applied.isOk()) return { kind: 'applied', ...applied.value };
    if (applied.error.kind === 'not-leader') return applied.error;
    if (applied.error.kind === 'overloaded') return { kind: 'unavailable', reason: 'overloaded' };
    return { kind: 'unknown', reason: 'leadership was lost' };
  });
  leaderRef.leader = () => control.position.leader;
  control.start(tasks, stop.signal);
  const incarnation = `${name}@${clock.now()}`;
  const ownership = Ownership.create({
    self: id,
    incarnation,
    history,
    transport,
    clock,
    timing: defaultLeaseTiming,
  });
  tasks.start(() => ownership.pollPreviousOwners(stop.signal));
  const upstreams = UpstreamRegistry.create({
    self: id,
    history,
    proposer,
    transport,
    lease: control.lease,
    clock,
    logger: silentLogger,
  });
  tasks.start(() => upstreams.watch(stop.signal));
  const progress = ProgressClient.create(transport, clock, votersToAsk);
  const kill = async () => {
    net.detach(id);
    stop.abort();
    await member.raft?.stop();
  };
  return { id, member, control, history, ownership, proposer, progress, upstreams, kill };
}

export type Member = ReturnType<typeof startMember>;

export interface ClusterOptions {
  readonly names: readonly string[];
  readonly voters: readonly string[];
  readonly dataCentreOf?: (name: string) => string;
  readonly seed?: number;
}

/** Starts a cluster and advances time until it has elected a leader and granted leases. */
export async function startCluster(o: ClusterOptions) {
  const clock = HeldClock.create();
  const net = MemoryNetwork.create(clock, SeededRandom.create(o.seed ?? 1));
  const disks = new Map<string, MemoryDisk>();
  const start = (name: string) => startMember(net, clock, name, o, disks);
  const members = new Map(o.names.map((name) => [name, start(name)]));
  await clock.advance(5000);
  const all = () => [...members.values()];
  const leader = () => all().find((m) => m.control.position.isLeader);
  const isolate = (m: Member) => {
    for (const other of all()) {
      net.cut(m.id, other.id);
      net.cut(other.id, m.id);
    }
  };
  const submit = (m: Member, note: ReleaseNote) =>
    submitReleaseNote(
      m.proposer,
      clock,
      { kind: 'accept-release', note, digest: digestOf(JSON.stringify(note)), at: 0 },
      5000,
    );
  const stop = async () => {
    const stopped = Promise.all(all().map((m) => m.kill()));
    await clock.advance(10_000);
    await stopped;
  };
  return { clock, net, members, all, leader, isolate, submit, start, stop };
}

export type Cluster = Awaited<ReturnType<typeof startCluster>>;

/** Advances time in small steps until `done` holds; resolves to the milliseconds that passed. */
export async function advanceUntil(
  c: Cluster,
  done: () => boolean,
  limitMs = 20_000,
): Promise<number> {
  const from = c.clock.now();
  while (!done() && c.clock.now() < from + limitMs) await c.clock.advance(10);
  return c.clock.now() - from;
}

/** Advances time until a promise is settled. */
export async function settle<T>(c: Cluster, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const watched = promise.finally(() => {
    isSettled = true;
  });
  await advanceUntil(c, () => isSettled);
  return watched;
}
