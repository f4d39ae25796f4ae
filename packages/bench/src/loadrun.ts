/** Runs a workload against a simulated fleet under one policy and records each result. */

import { RequestId } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireReply, AttemptEnd, Grant } from '@tanagercart/protocol';
import type { OwnerCandidate } from '@tanagercart/routing';
import type { Arrival } from './workload.js';
import type { Cancellation, FakeEngine, JobResult } from './fakeengine.js';
import { model, tiers } from './fleet.js';
import type { BenchNode, Fleet } from './fleet.js';

/**
 * How a request is assigned to a replica. `owners` is the policy of the system: owners grant slots.
 * The others are baselines: `least-loaded` and `power-of-two` use load reports that lag, and `fifo`
 * is one central queue with exact counts.
 */
export type Policy = 'owners' | 'round-robin' | 'least-loaded' | 'power-of-two' | 'fifo';

/** The result of one request. */
export interface ServedRequest {
  readonly arrival: Arrival;
  readonly kind: 'complete' | 'refused' | 'failed';
  /** Time to first token as the client sees it, in milliseconds. */
  readonly firstMs: Millis;
  /** Time to the end of the answer as the client sees it, in milliseconds. */
  readonly endMs: Millis;
  readonly preemptions: number;
}

/** Age of the load reports that the baselines use, in milliseconds. */
const reportLagMs = 200;

/** Limit on the owners that one attempt asks for a grant. */
const maxOwners = 3;

/** Timeout of a call to an owner, in milliseconds. */
const callTimeoutMs = 1000;

/** Limit on the attempts of one request; preemptions do not count. */
const maxAttempts = 4;

/** One run of a workload against a fleet. */
export class LoadRun {
  readonly served: ServedRequest[] = [];
  private readonly running = new Map<GrantId, Cancellation>();
  private reportedLoads = new Map<ReplicaId, number>();
  private readonly fifoQueue: ((engine: FakeEngine) => void)[] = [];
  private readonly inUse = new Map<FakeEngine, number>();
  private roundRobinIndex = 0;
  private replicaCounts: ReadonlyMap<NodeId, number> = new Map();
  private countedAtIndex = -1;
  private ended = false;

  private constructor(
    private readonly fleet: Fleet,
    private readonly policy: Policy,
  ) {
    for (const node of fleet.nodes) {
      node.transport.serve('preempt', async (_, call) => {
        const running = this.running.get(call.grant);
        if (running) running.cancelled = true;
        return { known: running !== undefined };
      });
    }
  }

  /**
   * Serves the arrivals in `demand`, waits `tailMs` after the last one and returns the results so
   * far. `scheduleFaults` is called at the start and may schedule faults on the clock of the fleet.
   */
  static async execute(
    fleet: Fleet,
    policy: Policy,
    demand: readonly Arrival[],
    tailMs: Millis,
    scheduleFaults: (fleet: Fleet) => void = () => undefined,
  ): Promise<readonly ServedRequest[]> {
    const run = new LoadRun(fleet, policy);
    scheduleFaults(fleet);
    void run.refreshReportedLoads();
    for (const [i, d] of demand.entries()) void run.serveRequest(d, i);
    await fleet.clock.advance((demand.at(-1)?.at ?? 0) + tailMs);
    run.ended = true;
    await fleet.clock.advance(reportLagMs);
    return run.served;
  }

  private async serveRequest(arrival: Arrival, i: number): Promise<void> {
    const { clock, site } = this.fleet;
    await clock.sleep(arrival.at + site.clientDelayMs);
    const node = this.fleet.nodes[Math.floor(this.fleet.random.next() * this.fleet.nodes.length)]!;
    const result =
      this.policy === 'owners'
        ? await this.serveByOwners(arrival, i, node)
        : await this.serveByBaseline(arrival);
    const firstMs = (result.firstTokenAt ?? Infinity) + site.clientDelayMs - arrival.at;
    const endMs = result.endAt + site.clientDelayMs - arrival.at;
    this.served.push({
      arrival,
      kind: result.kind,
      firstMs,
      endMs,
      preemptions: result.preemptions,
    });
  }

  private async serveByOwners(arrival: Arrival, i: number, node: BenchNode) {
    let left = arrival.tokens;
    let firstTokenAt: Millis | undefined;
    let preemptions = 0;
    const avoid: ReplicaId[] = [];
    for (let attempt = 0; attempt - preemptions < maxAttempts; attempt += 1) {
      const grant = await this.acquire(arrival, i, node, { attempt, preemptions, left, avoid });
      if (!grant) {
        const kind = firstTokenAt === undefined ? ('refused' as const) : ('failed' as const);
        return { kind, firstTokenAt, endAt: this.fleet.clock.now(), preemptions };
      }
      const startedAt = this.fleet.clock.now();
      const cancellation: Cancellation = { cancelled: false };
      this.running.set(grant.id, cancellation);
      await sleepOneHop(this.fleet);
      const result = await this.fleet.engines.get(grant.replica)!.run({
        promptTokens: arrival.promptTokens + arrival.tokens - left,
        tokens: left,
        priority: grant.priority,
        cancellation,
      });
      await sleepOneHop(this.fleet);
      this.running.delete(grant.id);
      left -= result.tokens;
      firstTokenAt ??= result.firstTokenAt;
      const end = endOf(left, cancellation.cancelled);
      release(node, grant, end, result, startedAt);
      if (end === 'complete') {
        return {
          kind: 'complete' as const,
          firstTokenAt,
          endAt: this.fleet.clock.now(),
          preemptions,
        };
      }
      if (end === 'preempted') preemptions += 1;
      else avoid.push(grant.replica);
    }
    return { kind: 'failed' as const, firstTokenAt, endAt: this.fleet.clock.now(), preemptions };
  }

  private async acquire(
    arrival: Arrival,
    i: number,
    node: BenchNode,
    progress: { attempt: number; preemptions: number; left: number; avoid: readonly ReplicaId[] },
  ): Promise<Grant | undefined> {
    const tier = tiers.find((t) => t.id === arrival.tier)!;
    const first = progress.attempt === 0;
    const call = {
      request: RequestId(`r${i}`),
      attempt: progress.attempt,
      account: arrival.account,
      tier: arrival.tier,
      model: model.id,
      version: '1',
      adapter: undefined,
      release: 1,
      prefix: [],
      promptTokens: arrival.promptTokens + arrival.tokens - progress.left,
      maxTokens: arrival.maxTokens,
      budgetMs: first ? tier.firstTokenMs - 2 * this.fleet.site.clientDelayMs : Infinity,
      avoid: progress.avoid,
      preemptions: progress.preemptions,
      passedTokens: arrival.tokens - progress.left,
    };
    const owners = node.ownerSelector
      .rank(this.ownerCandidates(node), arrival.tier, [])
      .slice(0, maxOwners);
    const last = owners.length - 1;
    for (const [at, owner] of owners.entries()) {
      node.ownerSelector.recordRequest(owner, arrival.tier);
      const reply = await this.callOwner(node, owner, { ...call, othersLeft: at < last });
      const refusedMs = reply?.kind === 'refused' ? reply.retryAfterMs : undefined;
      node.ownerSelector.recordReply(owner, arrival.tier, {
        room: reply?.room,
        retryAfterMs: refusedMs,
      });
      if (reply?.kind === 'granted') return reply.grant;
    }
    return undefined;
  }

  private async callOwner(
    node: BenchNode,
    owner: NodeId,
    call: Parameters<BenchNode['transport']['call']>[2] & object,
  ): Promise<AcquireReply | undefined> {
    for (;;) {
      const reply = await node.transport.call(owner, 'acquire', call as never, {
        timeoutMs: callTimeoutMs,
      });
      if (reply.isErr()) return undefined;
      if (reply.value.kind !== 'queued') return reply.value;
      await this.fleet.clock.sleep(reply.value.againMs);
    }
  }

  private ownerCandidates(node: BenchNode): readonly OwnerCandidate[] {
    const { state } = this.fleet;
    if (this.countedAtIndex !== state.index) this.replicaCounts = this.countReplicasByOwner();
    this.countedAtIndex = state.index;
    return [...this.replicaCounts].map(([id, replicas]) => ({
      node: id,
      replicas,
      sameDataCentre: this.fleet.nodes.find((n) => n.id === id)?.dataCentre === node.dataCentre,
    }));
  }

  private countReplicasByOwner(): ReadonlyMap<NodeId, number> {
    const counts = new Map<NodeId, number>();
    for (const replica of this.fleet.state.replicas.values()) {
      const owner = this.fleet.ownerOf(replica);
      if (owner) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return counts;
  }

  private async serveByBaseline(arrival: Arrival) {
    let left = arrival.tokens;
    let firstTokenAt: Millis | undefined;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const engine = await this.chooseEngine();
      if (!engine) break;
      await sleepOneHop(this.fleet);
      const result = await engine.run({
        promptTokens: arrival.promptTokens + arrival.tokens - left,
        tokens: left,
        priority: 0,
        cancellation: { cancelled: false },
      });
      await sleepOneHop(this.fleet);
      this.releaseEngine(engine);
      left -= result.tokens;
      firstTokenAt ??= result.firstTokenAt;
      const endAt = this.fleet.clock.now();
      if (left <= 0) return { kind: 'complete' as const, firstTokenAt, endAt, preemptions: 0 };
    }
    const endAt = this.fleet.clock.now();
    return { kind: 'failed' as const, firstTokenAt, endAt, preemptions: 0 };
  }

  private async chooseEngine(): Promise<FakeEngine | undefined> {
    const ids = [...this.fleet.state.replicas.keys()];
    const load = (id: ReplicaId) =>
      (this.reportedLoads.get(id) ?? 0) / this.fleet.engines.get(id)!.kind.slots;
    const pick = () => ids[Math.floor(this.fleet.random.next() * ids.length)]!;
    switch (this.policy) {
      case 'round-robin':
        this.roundRobinIndex += 1;
        return this.fleet.engines.get(ids[this.roundRobinIndex % ids.length]!);
      case 'least-loaded':
        return this.fleet.engines.get(ids.reduce((a, b) => (load(b) < load(a) ? b : a)));
      case 'power-of-two': {
        const [a, b] = [pick(), pick()];
        return this.fleet.engines.get(load(b) < load(a) ? b : a);
      }
      case 'fifo':
      case 'owners':
        return this.waitForFreeEngine();
      default:
        return undefined;
    }
  }

  /** Resolves with a free engine; requests wait in order of arrival. */
  private waitForFreeEngine(): Promise<FakeEngine> {
    return new Promise((resolve) => {
      this.fifoQueue.push(resolve);
      this.serveFifo();
    });
  }

  private serveFifo(): void {
    while (this.fifoQueue.length > 0) {
      const free = [...this.fleet.engines.values()]
        .filter((e) => e.alive && (this.inUse.get(e) ?? 0) < e.kind.slots)
        .sort((a, b) => this.utilisationOf(a) - this.utilisationOf(b))[0];
      if (!free) return;
      this.inUse.set(free, (this.inUse.get(free) ?? 0) + 1);
      this.fifoQueue.shift()!(free);
    }
  }

  private utilisationOf(engine: FakeEngine): number {
    return (this.inUse.get(engine) ?? 0) / engine.kind.slots;
  }

  private releaseEngine(engine: FakeEngine): void {
    if (this.policy !== 'fifo') return;
    this.inUse.set(engine, (this.inUse.get(engine) ?? 0) - 1);
    this.serveFifo();
  }

  private async refreshReportedLoads(): Promise<void> {
    while (!this.ended) {
      const loads = new Map([...this.fleet.engines].map(([id, e]) => [id, e.load]));
      await this.fleet.clock.sleep(reportLagMs);
      this.reportedLoads = loads;
    }
  }
}

function release(
  node: BenchNode,
  grant: Grant,
  end: AttemptEnd,
  result: JobResult,
  startedAt: Millis,
): void {
  const firstTokenMs =
    result.firstTokenAt === undefined ? undefined : result.firstTokenAt - startedAt;
  const call = { grant: grant.id, end, tokens: result.tokens, firstTokenMs };
  void node.transport.call(grant.owner, 'release', call, { timeoutMs: callTimeoutMs });
}

function endOf(left: number, wasCancelled: boolean): AttemptEnd {
  if (left <= 0) return 'complete';
  return wasCancelled ? 'preempted' : 'failed';
}

function sleepOneHop(fleet: Fleet): Promise<void> {
  return fleet.clock.sleep(fleet.site.nodeDelayMs);
}
