/** Nodes, an owner and engines in memory on a simulated clock, for tests of dispatch. */

import { err, ok } from 'neverthrow';
import {
  AccountId,
  GrantId,
  HeldClock,
  ModelId,
  NodeId,
  ReplicaId,
  RequestId,
  SeededRandom,
  StatsdMetrics,
  TierId,
  UpstreamId,
  rendezvous,
  silentLogger,
  unreachable,
} from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { AcquireCall, Grant } from '@tanagercart/protocol';
import { SharedState } from '@tanagercart/state';
import type { Command, CommandProposer } from '@tanagercart/state';
import type { EngineClient, RunEvent, RunOrder } from '@tanagercart/upstream';
import { Dispatch, Gate } from '../src/index.js';
import type { AnswerEvent, GenerationRequest } from '../src/index.js';

/**
 * Fault of an engine before a token. `unreachable` and `refuse` apply only before the first token of
 * an attempt, `crash` takes the replica down for good, `repeat` sends the frame twice, and `cross`
 * sends a frame of another request first.
 */
export type Fault = 'none' | 'unreachable' | 'refuse' | 'crash' | 'stall' | 'repeat' | 'cross';

/** Tokens of the complete answer to a prompt. */
export const answerOf = (prompt: string, tokens = 6): readonly string[] =>
  Array.from({ length: tokens }, (_, i) => `${prompt}.${i}`);

/** Returns the fault of a run on a replica before the token `index`. */
export type FaultPlan = (replica: string, order: RunOrder, index: number) => Fault;

export interface FleetOptions {
  readonly seed?: number;
  readonly nodes?: number;
  readonly replicas?: number;
  readonly slots?: number;
  /** Whether the log commits proposals. */
  readonly stateUp?: () => boolean;
  readonly fault?: FaultPlan;
}

export function createFleet(options: FleetOptions = {}) {
  const { seed = 1, nodes = 3, replicas = 4, slots = 4 } = options;
  const clock = HeldClock.create();
  const random = SeededRandom.create(seed);
  const network = MemoryNetwork.create(clock, random);
  const metrics = StatsdMetrics.create();
  const state = SharedState.create();
  const names = Array.from({ length: nodes }, (_, i) => NodeId(`n${i}`));
  const crashed = new Set<string>();
  const cancelled: string[] = [];
  const fault = options.fault ?? (() => 'none');
  const proposals = logOf(clock, state, options.stateUp ?? (() => true));
  const engines = enginesOf(clock, fault, crashed, cancelled);
  const held = new Map<GrantId, ReplicaId>();
  const calls: AcquireCall[] = [];
  serveOwner(network, names[0]!, replicas, slots, held, crashed, calls);
  const dispatches = names.map((self, i) => {
    const transport = i === 0 ? network.transportOf(self)! : network.attach(self);
    Gate.create({ state, clock, transport, isUp: () => true });
    return Dispatch.create({
      clock,
      random,
      logger: silentLogger,
      metrics,
      transport,
      engines,
      proposals,
      state,
      owners: () => [names[0]!],
      recordAcquire: () => undefined,
      recordReply: () => undefined,
      gates: (fingerprint: Digest) => rendezvous(fingerprint, names),
    });
  });
  return {
    clock,
    random,
    network,
    metrics,
    state,
    dispatches,
    crashed,
    cancelled,
    held,
    calls,
    proposals,
  };
}

export type Fleet = ReturnType<typeof createFleet>;

/** A log that commits each command after 1 ms while `up` returns true. */
function logOf(clock: HeldClock, state: SharedState, up: () => boolean): CommandProposer {
  return {
    async propose(command: Command) {
      await clock.sleep(1);
      if (!up()) return err({ kind: 'unavailable', detail: 'down' });
      const index = state.index + 1;
      return ok({ index, outcome: state.apply(index, command) });
    },
  };
}

function enginesOf(
  clock: HeldClock,
  fault: FaultPlan,
  crashed: Set<string>,
  cancelled: string[],
): EngineClient {
  return {
    async *run(order, signal): AsyncGenerator<RunEvent> {
      const replica = order.chain[0]!.upstream;
      const whole = answerOf(order.prompt, order.maxTokens);
      for (let index = order.passed.length; index < whole.length; index += 1) {
        await clock.sleep(10);
        const kind = crashed.has(replica) ? 'crash' : fault(replica, order, index);
        const frame = frameOf(order, index, whole[index]!);
        switch (kind) {
          case 'unreachable':
          case 'refuse':
            if (index > order.passed.length) break;
            yield failedOf(kind === 'refuse' ? 'refused' : 'unreachable');
            return;
          case 'crash':
            if (crashed.has(replica)) {
              yield failedOf(index > order.passed.length ? 'broken' : 'unreachable');
              return;
            }
            crashed.add(replica);
            yield failedOf('broken');
            return;
          case 'stall':
            await clock.sleep(100_000, signal);
            break;
          case 'repeat':
            yield { kind: 'tokens', frames: [frame] };
            break;
          case 'cross':
            yield { kind: 'tokens', frames: [{ ...frame, request: RequestId('other') }] };
            break;
          case 'none':
            break;
          default:
            unreachable(kind);
        }
        yield { kind: 'tokens', frames: [frame] };
      }
      yield { kind: 'end', reason: 'stop' };
    },
    async cancel(order) {
      cancelled.push(`${order.request}/${order.attempt}`);
    },
  };
}

function frameOf(order: RunOrder, index: number, token: string) {
  const { request, attempt, chain } = order;
  return { request, attempt, index, token, receipts: chain };
}

function failedOf(kind: 'refused' | 'unreachable' | 'broken'): RunEvent {
  return { kind: 'failed', failure: { kind, detail: 'fault', suspect: undefined } };
}

/**
 * Serves an owner that grants the replica with the fewest grants. It also grants crashed replicas,
 * as a real owner learns of a crash late.
 */
function serveOwner(
  network: MemoryNetwork,
  self: NodeId,
  replicas: number,
  slots: number,
  held: Map<GrantId, ReplicaId>,
  crashed: ReadonlySet<string>,
  calls: AcquireCall[],
): void {
  const transport = network.attach(self);
  const names = Array.from({ length: replicas }, (_, i) => ReplicaId(`r${i}`));
  let seq = 0;
  const used = (r: ReplicaId) => [...held.values()].filter((x) => x === r).length;
  transport.serve('acquire', async (_, call) => {
    calls.push(call);
    const free = names
      .filter((r) => !call.avoid.includes(r) && used(r) < slots)
      .sort((a, b) => used(a) - used(b) || Number(crashed.has(a)) - Number(crashed.has(b)))[0];
    if (!free) return { kind: 'queued', againMs: 20 };
    seq += 1;
    const id = GrantId(`g${seq}`);
    held.set(id, free);
    return { kind: 'granted', grant: grantOf(id, self, free) };
  });
  transport.serve('release', async (_, call) => ({ known: held.delete(call.grant) }));
}

function grantOf(id: GrantId, owner: NodeId, replica: ReplicaId): Grant {
  const stages = [{ upstream: UpstreamId(replica), url: '', from: 0, to: 4 }];
  return { id, replica, owner, epoch: 1, startWithinMs: 1000, priority: 0, stages };
}

/** A request of an account that may send one retry per request. */
export function generation(id: string, over: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    id: RequestId(id),
    account: { id: AccountId('grower') } as GenerationRequest['account'],
    tier: {
      id: TierId('urgent'),
      urgency: 0,
      price: 1,
      firstTokenMs: 1000,
      tokenGapMs: 100,
      concurrency: 100,
      requestsPerSecond: 100,
      tokensPerSecond: 1e6,
      retryBudget: 1,
    },
    model: { id: ModelId('m'), layers: 4, versions: ['1'], adapters: [] },
    version: '1',
    adapter: undefined,
    release: 1,
    prompt: id,
    seed: 0,
    maxTokens: 6,
    ...over,
  };
}

/** Collects the events of an answer while the test advances the clock. */
export async function collect(
  dispatch: Dispatch,
  g: GenerationRequest,
  signal: AbortSignal = new AbortController().signal,
): Promise<readonly AnswerEvent[]> {
  const events: AnswerEvent[] = [];
  for await (const event of dispatch.generate(g, signal)) events.push(event);
  return events;
}

/** The tokens of an answer. */
export const tokensOf = (events: readonly AnswerEvent[]): readonly string[] =>
  events.flatMap((e) => (e.kind === 'tokens' ? e.tokens : []));
