/**
 * A simulated fleet to measure dispatch: entry nodes with the real dispatch and gates, and one
 * simplified owner and engines in memory, on a clock that the bench advances.
 */

import { ok } from 'neverthrow';
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
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Dispatch, Gate } from '@tanagercart/dispatch';
import type { AnswerEvent, GenerationRequest } from '@tanagercart/dispatch';
import { MemoryNetwork } from '@tanagercart/protocol';
import { SharedState } from '@tanagercart/state';
import type { CommandProposer } from '@tanagercart/state';
import type { EngineClient, RunEvent, RunOrder } from '@tanagercart/upstream';

/** Time for one token, in milliseconds. */
const tokenMs: Millis = 40;

/** Time to commit a command, in milliseconds. */
const commitMs: Millis = 2;

/** The size and the faults of a fleet. */
export interface DispatchFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly replicas: number;
  readonly slots: number;
  /** Whether a request crashes the upstream that runs it. */
  readonly crashes: (order: RunOrder) => boolean;
  /** Snapshot of the shared state of an earlier fleet, as after a restart of all nodes. */
  readonly snapshot?: Uint8Array;
  /** Whether gates clear every request at once, as a baseline. */
  readonly bypassGates?: boolean;
}

/** A fleet in memory. The node with index 0 also owns all replicas. */
export class DispatchFleet {
  readonly clock = HeldClock.create();
  readonly metrics = StatsdMetrics.create();
  readonly state = SharedState.create();
  /** Replicas whose upstream has crashed. */
  readonly dead = new Set<string>();
  /** Replicas that the owner has detected as down and no longer grants. */
  readonly ungranted = new Set<string>();
  readonly dispatches: readonly Dispatch[];
  private readonly network: MemoryNetwork;
  private readonly activeGrants = new Map<GrantId, ReplicaId>();
  private readonly replicaIds: readonly ReplicaId[];
  private grantCount = 0;

  private constructor(private readonly options: DispatchFleetOptions) {
    const random = SeededRandom.create(options.seed);
    this.network = MemoryNetwork.create(this.clock, random);
    if (options.snapshot) this.state.restore(1, options.snapshot);
    this.replicaIds = Array.from({ length: options.replicas }, (_, i) => ReplicaId(`r${i}`));
    const nodes = Array.from({ length: options.nodes }, (_, i) => NodeId(`n${i}`));
    this.dispatches = nodes.map((self) => this.createNode(self, nodes, random));
    this.serveOwner(nodes[0]!);
  }

  static create(options: DispatchFleetOptions): DispatchFleet {
    return new DispatchFleet(options);
  }

  /** Sends a request through a node and returns the last event of its answer. */
  async send(node: number, request: GenerationRequest): Promise<AnswerEvent | undefined> {
    const entry = this.dispatches[node % this.dispatches.length]!;
    let last: AnswerEvent | undefined;
    for await (const event of entry.generate(request, new AbortController().signal)) last = event;
    return last;
  }

  private createNode(self: NodeId, nodes: readonly NodeId[], random: SeededRandom): Dispatch {
    const { clock, state, metrics } = this;
    const transport = this.network.attach(self);
    if (this.options.bypassGates) {
      transport.serve('clear', async () => ({ kind: 'cleared' }));
      transport.serve('settle', async () => ({ known: true }));
    } else Gate.create({ state, clock, transport, isUp: () => true });
    return Dispatch.create({
      clock,
      random,
      logger: silentLogger,
      metrics,
      transport,
      engines: this.engines(),
      proposals: this.proposals(),
      state,
      owners: () => [nodes[0]!],
      recordAcquire: () => undefined,
      recordReply: () => undefined,
      gates: (fingerprint) => rendezvous(fingerprint, nodes),
    });
  }

  private proposals(): CommandProposer {
    return {
      propose: async (command) => {
        await this.clock.sleep(commitMs);
        const index = this.state.index + 1;
        return ok({ index, outcome: this.state.apply(index, command) });
      },
    };
  }

  private engines(): EngineClient {
    return { run: (order) => this.run(order), cancel: async () => undefined };
  }

  private async *run(order: RunOrder): AsyncGenerator<RunEvent> {
    const [{ upstream }] = order.chain as [RunOrder['chain'][0]];
    if (this.dead.has(upstream)) {
      yield { kind: 'failed', failure: { kind: 'unreachable', detail: 'down' } };
      return;
    }
    const { request, attempt, chain: receipts } = order;
    for (let index = order.passed.length; index < order.maxTokens; index += 1) {
      await this.clock.sleep(tokenMs);
      if (this.options.crashes(order)) this.dead.add(upstream);
      if (this.dead.has(upstream)) {
        yield { kind: 'failed', failure: { kind: 'broken', detail: 'died', suspect: undefined } };
        return;
      }
      const frame = { request, attempt, index, token: `t${index}`, receipts };
      yield { kind: 'tokens', frames: [frame] };
    }
    yield { kind: 'end', reason: 'stop' };
  }

  private serveOwner(self: NodeId): void {
    const transport = this.network.transportOf(self)!;
    const running = (r: ReplicaId) => [...this.activeGrants.values()].filter((u) => u === r).length;
    transport.serve('acquire', async (_, call) => {
      const replica = this.replicaIds
        .map((r) => ({ r, n: running(r) }))
        .filter(
          ({ r, n }) => n < this.options.slots && !this.ungranted.has(r) && !call.avoid.includes(r),
        )
        .sort((a, b) => a.n - b.n)[0]?.r;
      if (!replica) return { kind: 'queued', againMs: 50 };
      this.grantCount += 1;
      const id = GrantId(`g${this.grantCount}`);
      this.activeGrants.set(id, replica);
      const stages = [{ upstream: UpstreamId(replica), url: '', from: 0, to: 1 }];
      const terms = { epoch: 1, startWithinMs: 1000, priority: 0 };
      return { kind: 'granted', grant: { id, replica, owner: self, stages, ...terms } };
    });
    transport.serve('release', async (_, call) => ({
      known: this.activeGrants.delete(call.grant),
    }));
  }
}

/** Creates a request whose tier has a retry budget of 10 % of the requests. */
export function generationRequest(
  id: string,
  over: Partial<GenerationRequest> = {},
): GenerationRequest {
  return {
    id: RequestId(id),
    account: { id: AccountId('grower') } as GenerationRequest['account'],
    tier: {
      id: TierId('urgent'),
      urgency: 0,
      price: 1,
      firstTokenMs: 690,
      tokenGapMs: 78,
      concurrency: 1000,
      requestsPerSecond: 1000,
      tokensPerSecond: 1e6,
      retryBudget: 0.1,
    },
    model: { id: ModelId('m'), layers: 1 } as GenerationRequest['model'],
    version: '1',
    adapter: undefined,
    release: 1,
    prompt: id,
    seed: 0,
    maxTokens: 25,
    ...over,
  };
}
