/** A cluster of nodes that run only the control plane, with an in-memory network and virtual time. */

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
import {
  Control,
  History,
  Ownership,
  ProgressClient,
  defaultLeaseTiming,
  leaderFirst,
  submitReleaseNote,
} from '@tanagercart/membership';
import { MemoryNetwork, decode, encode } from '@tanagercart/protocol';
import type { StateSnapshot } from '@tanagercart/protocol';
import type { ReleaseNote } from '@tanagercart/release';
import { Proposer } from '@tanagercart/state';

const voterNames = ['n1', 'n2', 'n3', 'n4', 'n5'];

/** Data centres over which the nodes are spread; by default, only the first three are used. */
const dataCentres = ['north', 'east', 'west', 'south', 'middle'];

/** Virtual time given to a cluster to settle, and the interval between checks, in milliseconds. */
const settleMs = 8000;
const pollMs = 100;

/** The lifetime of a node's process. */
export interface Life {
  /** Aborts when the process ends. */
  readonly signal: AbortSignal;
}

/** One node of the cluster. */
export type Member = ReturnType<typeof startMember>;

/** A running cluster. */
export type Cluster = Awaited<ReturnType<typeof startCluster>>;

/** Starts `count` nodes at once, five of them voters, and lets them settle. */
export async function startCluster(count: number, seed: number, dataCentreCount = 3) {
  const clock = HeldClock.create();
  const net = MemoryNetwork.create(clock, SeededRandom.create(seed));
  net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: 0 });
  const names = Array.from({ length: count }, (_, i) => `n${i + 1}`);
  const members = names.map((name, i) =>
    startMember(net, clock, name, dataCentres[i % dataCentreCount]!),
  );
  const isReady = (m: Member) => m.history.state.nodes.size === count && m.control.lease.valid;
  /** Virtual time until every node had all nodes in its state and held a lease. */
  let upMs = Infinity;
  for (let elapsed = pollMs; elapsed <= settleMs; elapsed += pollMs) {
    await clock.advance(pollMs);
    if (upMs === Infinity && members.every(isReady)) upMs = elapsed;
  }
  const leader = () => members.find((m) => m.control.position.isLeader)!;
  const stop = async () => {
    const stopped = Promise.all(members.map((m) => m.kill()));
    await clock.advance(5000);
    await stopped;
  };
  return { clock, net, members, upMs, leader, stop };
}

/** Submits a note through `from`. Returns the virtual time until `from` sees it in force. */
export async function submitAndWait(c: Cluster, from: Member, note: ReleaseNote): Promise<number> {
  const start = c.clock.now();
  let elapsedMs: number | undefined;
  const run = async () => {
    const digest = digestOf(JSON.stringify(note));
    const command = { kind: 'accept-release', note, digest, at: 0 } as const;
    const committed = await submitReleaseNote(from.proposer, c.clock, command, 20_000);
    const spread = committed.isOk()
      ? await from.progress.waitUntilInForce(committed.value.index, 20_000)
      : undefined;
    elapsedMs = spread?.kind === 'in-force' ? c.clock.now() - start : Infinity;
  };
  const done = run();
  while (elapsedMs === undefined) await c.clock.advance(5);
  await done;
  return elapsedMs;
}

/** Starts one node. A voter restores its state from `disk`. */
export function startMember(
  net: MemoryNetwork,
  clock: HeldClock,
  name: string,
  dataCentre: string,
  disk: MemoryDisk = MemoryDisk.create(),
) {
  const id = NodeId(name);
  const transport = net.attach(id);
  const history = History.create();
  const stop = new AbortController();
  const life: Life = { signal: stop.signal };
  const tasks = TaskGroup.create(rethrow);
  const voters = voterNames.map(NodeId);
  const leadership = { leader: (): NodeId | undefined => undefined };
  const preferredVoters = () => leaderFirst(voters, leadership.leader());
  const proposer = Proposer.create(transport, clock, preferredVoters);
  const holder = { raft: undefined as Raft | undefined };
  const incarnation = `${name}@${clock.now()}`;
  const timing = defaultLeaseTiming;
  const address = {
    id,
    dataCentre: DataCentreId(dataCentre),
    peer: '10.0.0.1:9100',
    entry: 'http://10.0.0.1:9000',
  };
  const control = Control.create({
    self: () => address,
    incarnation,
    transport,
    history,
    proposer,
    leadership: {
      isLeader: () => holder.raft?.holdsLease === true,
      leader: () => holder.raft?.leader,
    },
    clock,
    timing,
    logger: silentLogger,
    draining: () => false,
    seeds: () => voters,
  });
  const apply = (index: number, bytes: Uint8Array) => {
    control.commitTimes.record(index, clock.now());
    return encode(history.apply(index, bytes));
  };
  const startRaft = async () => {
    const opened = await DiskStore.open({ disk, random: net.random, logger: silentLogger });
    if (opened.isErr()) throw new Error(opened.error.detail);
    holder.raft = Raft.create({
      self: id,
      initialVoters: voters,
      transport,
      store: opened.value,
      stateMachine: {
        apply,
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
  if (voters.includes(id)) {
    tasks.start(startRaft);
  }
  transport.serve('propose', async (_, { bytes }) => {
    if (!holder.raft) return { kind: 'not-leader', leader: undefined };
    const applied = await holder.raft.propose(bytes);
    if (applied.isOk()) return { kind: 'applied', ...applied.value };
    if (applied.error.kind === 'not-leader') return applied.error;
    if (applied.error.kind === 'overloaded') return { kind: 'unavailable', reason: 'overloaded' };
    return { kind: 'unknown', reason: 'leadership was lost' };
  });
  const ownership = Ownership.create({ self: id, incarnation, history, transport, clock, timing });
  tasks.start(() => ownership.pollPreviousOwners(stop.signal));
  leadership.leader = () => control.position.leader;
  control.start(tasks, stop.signal);
  const progress = ProgressClient.create(transport, clock, preferredVoters);
  const kill = async () => {
    net.detach(id);
    stop.abort();
    await holder.raft?.stop();
  };
  const isVoter = voters.includes(id);
  const isLeader = () => holder.raft?.holdsLease === true;
  const shared = { transport, ownership, tasks, disk, life, dataCentre, isLeader };
  return { id, isVoter, control, history, proposer, progress, kill, ...shared };
}

function rethrow(error: unknown): never {
  throw error;
}
