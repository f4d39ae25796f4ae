/**
 * Bench `orders`: the cost of placing an order at most once. The entry node records a claim in the
 * replicated log before it sends the order. Measures the latency, log entries and processor time
 * that this adds to a call, with claims proposed one by one and in batches.
 */

import {
  AccountId,
  HeldClock,
  NodeId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Orders } from '@tanagercart/dispatch';
import type { Order } from '@tanagercart/dispatch';
import { DiskStore, MemoryDisk, Raft, defaultLimits, defaultTiming } from '@tanagercart/log';
import { MemoryNetwork, encode } from '@tanagercart/protocol';
import { BatchingProposer, Proposer, SharedState, decodeCommand } from '@tanagercart/state';
import type { CommandProposer, Upstream } from '@tanagercart/state';
import { ok } from 'neverthrow';
import type { Report } from './report.js';

const voters = ['a', 'b', 'c'].map(NodeId);
const entry = NodeId('entry');
const calls = 2000;
const ordersPerSecond = 1000;

/** Time that the order desk takes to answer a call, in milliseconds. */
const deskDelayMs: Millis = 20;

/** Time that the disk of a voter takes to sync, in milliseconds. */
const diskSyncMs: Millis = 1;

/** The result of one mode; `p50` and `p95` are latencies of calls in milliseconds. */
interface TrialResult {
  readonly p50: Millis;
  readonly p95: Millis;
  /** Log entries per order. */
  readonly entries: number;
  /** Processor time per order, in milliseconds. */
  readonly cpuMs: number;
}

/** How claims are recorded: not at all, one per proposal, or in batches. */
type Mode = 'unclaimed' | 'single' | 'batched';

/** Measures the same calls in each mode. */
export async function run(seed: number): Promise<Report> {
  const plain = await runTrial(seed, 'unclaimed');
  const single = await runTrial(seed, 'single');
  const batched = await runTrial(seed, 'batched');
  const ratio = (name: string, value: number) => ({ name, value, unit: 'of unclaimed' });
  return {
    bench: 'orders',
    seed,
    figures: [
      { name: 'unclaimed call, p50', value: plain.p50, unit: 'ms' },
      ratio('claimed in batches, p50', batched.p50 / plain.p50),
      ratio('claimed in batches, p95', batched.p95 / plain.p95),
      ratio('claimed one by one, p50', single.p50 / plain.p50),
      ratio('claimed one by one, p95', single.p95 / plain.p95),
      { name: 'log entries, in batches', value: batched.entries, unit: 'per order' },
      { name: 'log entries, one by one', value: single.entries, unit: 'per order' },
      { name: 'processor time, in batches', value: batched.cpuMs, unit: 'ms per order' },
      { name: 'processor time, one by one', value: single.cpuMs, unit: 'ms per order' },
      { name: 'processor time, unclaimed', value: plain.cpuMs, unit: 'ms per order' },
    ],
  };
}

async function runTrial(seed: number, mode: Mode): Promise<TrialResult> {
  const clock = HeldClock.create();
  const random = SeededRandom.create(seed);
  const network = MemoryNetwork.create(clock, random);
  const starting = startVoters(clock, network, random);
  const proposer = Proposer.create(network.attach(entry), clock, () => voters);
  await clock.advance(10_000);
  const state = await starting;
  const sender = createSender(
    clock,
    mode === 'batched' ? BatchingProposer.create(proposer, clock) : proposer,
  );
  const times: Millis[] = [];
  const before = state.index;
  const cpu = process.cpuUsage();
  for (let i = 0; i < calls; i += 1) {
    const from = clock.now();
    const call =
      mode === 'unclaimed'
        ? sender.sendRepeatable(createOrder(i))
        : sender.placeOnce(createOrder(i), `k${i}`);
    void call.then((answer) => {
      if (answer.isOk()) times.push(clock.now() - from);
    });
    await clock.advance((1000 / ordersPerSecond) * 2 * random.next());
  }
  await clock.advance(10_000);
  const { user, system } = process.cpuUsage(cpu);
  if (times.length !== calls) throw new Error(`${times.length} of ${calls} calls were answered`);
  times.sort((a, b) => a - b);
  return {
    p50: times[Math.floor(calls * 0.5)]!,
    p95: times[Math.floor(calls * 0.95)]!,
    entries: (state.index - before) / calls,
    cpuMs: (user + system) / 1000 / calls,
  };
}

/** Starts three voters on an in-memory network and returns the state of the first one. */
async function startVoters(
  clock: HeldClock,
  network: MemoryNetwork,
  random: SeededRandom,
): Promise<SharedState> {
  const starting = voters.map(async (self) => {
    const state = SharedState.create();
    const transport = network.attach(self);
    const disk = MemoryDisk.create(clock, diskSyncMs);
    const opened = await DiskStore.open({ disk, random, logger: silentLogger });
    const raft = Raft.create({
      self,
      initialVoters: voters,
      transport,
      store: opened._unsafeUnwrap(),
      stateMachine: {
        apply: (index, bytes) => encode(state.apply(index, decodeCommand(bytes))),
        snapshot: () => state.snapshot(),
        restore: (data) => state.restore(state.index + 1, data),
      },
      clock,
      random,
      timing: defaultTiming,
      limits: defaultLimits,
      logger: silentLogger,
      onBroken: (error) => {
        throw error;
      },
    });
    transport.serve('propose', async (_, call) => {
      const applied = await raft.propose(call.bytes);
      if (applied.isOk()) return { kind: 'applied', ...applied.value };
      if (applied.error.kind === 'not-leader') return applied.error;
      return { kind: 'unknown', reason: 'leadership was lost' };
    });
    return state;
  });
  return (await Promise.all(starting))[0]!;
}

function createSender(clock: HeldClock, proposals: CommandProposer): Orders {
  const desk: Upstream = {
    id: UpstreamId('desk'),
    incarnation: '1',
    url: 'http://desk',
    dataCentre: 'dc',
    role: { kind: 'service', service: ServiceId('desk') },
  };
  return Orders.create({
    self: entry,
    clock,
    logger: silentLogger,
    metrics: StatsdMetrics.create(),
    proposals,
    services: {
      async send() {
        await clock.sleep(deskDelayMs);
        return ok({ status: 201, contentType: 'text/plain', body: 'placed' });
      },
    },
    upstreams: () => [desk],
  });
}

function createOrder(i: number): Order {
  return {
    request: RequestId(`q${i}`),
    account: AccountId('grower'),
    service: 'desk',
    path: '/orders',
    method: 'POST',
    headers: {},
    body: Buffer.from(`{"trays":${i}}`),
  };
}
