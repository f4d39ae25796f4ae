/** Serves the demand of one run under one policy, and keeps what became of each request. */

import { RequestId } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireReply, AttemptEnd, Grant } from '@tanagercart/protocol';
import type { OwnerCandidate } from '@tanagercart/routing';
import type { Demand } from './demand.js';
import type { Cancellation, FakeEngine, JobResult } from './fakeengine.js';
import { model, tiers } from './fleet.js';
import type { BenchNode, Fleet } from './fleet.js';

/** How requests find a replica: the owners' grants, or a baseline without them. */
export type Policy = 'owners' | 'round-robin' | 'least-loaded' | 'power-of-two' | 'fifo';

/** What became of one request. */
export interface Served {
  readonly demand: Demand;
  readonly kind: 'complete' | 'refused' | 'failed';
  /** Time from the request to its first token, at the client. */
  readonly firstMs: Millis;
  readonly endMs: Millis;
  readonly preemptions: number;
}

/** Delay of load reports in the baselines, in milliseconds. */
const reportLagMs = 200;

/** Owners that one request asks at most. */
const ownersAsked = 3;

const callTimeoutMs = 1000;

/** Attempts of one request at most, preemptions not counted. */
const attemptLimit = 4;

/** Runs demand against a fleet. */
export class Run {
  readonly served: Served[] = [];
  private readonly running = new Map<GrantId, Cancellation>();
  private reports = new Map<ReplicaId, number>();
  private readonly fifo: ((engine: FakeEngine) => void)[] = [];
  private readonly taken = new Map<FakeEngine, number>();
  private turn = 0;
  private counts: ReadonlyMap<NodeId, number> = new Map();
  private countedAt = -1;
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

  /** Serves `demand` and then waits for `tailMs`. */
  static async of(
    fleet: Fleet,
    policy: Policy,
    demand: readonly Demand[],
    tailMs: Millis,
    events: (fleet: Fleet) => void = () => undefined,
  ): Promise<readonly Served[]> {
    const run = new Run(fleet, policy);
    events(fleet);
    void run.report();
    for (const [i, d] of demand.entries()) void run.serve(d, i);
    await fleet.clock.advance((demand.at(-1)?.at ?? 0) + tailMs);
    run.ended = true;
    await fleet.clock.advance(reportLagMs);
    return run.served;
  }

  private async serve(demand: Demand, i: number): Promise<void> {
    const { clock, site } = this.fleet;
    await clock.sleep(demand.at + site.clientMs);
    const node = this.fleet.nodes[Math.floor(this.fleet.random.next() * this.fleet.nodes.length)]!;
    const result =
      this.policy === 'owners' ? await this.owned(demand, i, node) : await this.plain(demand);
    const firstMs = (result.firstTokenAt ?? Infinity) + site.clientMs - demand.at;
    const endMs = result.endAt + site.clientMs - demand.at;
    this.served.push({
      demand,
      kind: result.kind,
      firstMs,
      endMs,
      preemptions: result.preemptions,
    });
  }

  private async owned(demand: Demand, i: number, node: BenchNode) {
    let left = demand.tokens;
    let firstTokenAt: Millis | undefined;
    let preemptions = 0;
    const avoid: ReplicaId[] = [];
    for (let attempt = 0; attempt - preemptions < attemptLimit; attempt += 1) {
      const grant = await this.acquire(demand, i, node, { attempt, preemptions, left, avoid });
      if (!grant) {
        const kind = firstTokenAt === undefined ? ('refused' as const) : ('failed' as const);
        return { kind, firstTokenAt, endAt: this.fleet.clock.now(), preemptions };
      }
      const startedAt = this.fleet.clock.now();
      const stop: Cancellation = { cancelled: false };
      this.running.set(grant.id, stop);
      await clockHop(this.fleet);
      const result = await this.fleet.engines.get(grant.replica)!.run({
        promptTokens: demand.promptTokens + demand.tokens - left,
        tokens: left,
        priority: grant.priority,
        cancellation: stop,
      });
      await clockHop(this.fleet);
      this.running.delete(grant.id);
      left -= result.tokens;
      firstTokenAt ??= result.firstTokenAt;
      const end = endOf(left, stop.cancelled);
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
    demand: Demand,
    i: number,
    node: BenchNode,
    a: { attempt: number; preemptions: number; left: number; avoid: readonly ReplicaId[] },
  ): Promise<Grant | undefined> {
    const promise = tiers.find((t) => t.id === demand.tier)!;
    const first = a.attempt === 0;
    const call = {
      request: RequestId(`r${i}`),
      attempt: a.attempt,
      account: demand.account,
      tier: demand.tier,
      model: model.id,
      version: '1',
      adapter: undefined,
      release: 1,
      prefix: [],
      promptTokens: demand.promptTokens + demand.tokens - a.left,
      maxTokens: demand.maxTokens,
      budgetMs: first ? promise.firstTokenMs - 2 * this.fleet.site.clientMs : Infinity,
      avoid: a.avoid,
      preemptions: a.preemptions,
      passedTokens: demand.tokens - a.left,
    };
    const owners = node.chooser.rank(this.owners(node), demand.tier, []).slice(0, ownersAsked);
    const last = owners.length - 1;
    for (const [at, owner] of owners.entries()) {
      node.chooser.recordRequest(owner, demand.tier);
      const reply = await this.ask(node, owner, { ...call, othersLeft: at < last });
      const refusedMs = reply?.kind === 'refused' ? reply.retryAfterMs : undefined;
      node.chooser.recordReply(owner, demand.tier, { room: reply?.room, retryAfterMs: refusedMs });
      if (reply?.kind === 'granted') return reply.grant;
    }
    return undefined;
  }

  private async ask(
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

  private owners(node: BenchNode): readonly OwnerCandidate[] {
    const { state } = this.fleet;
    if (this.countedAt !== state.index) this.counts = this.countOwned();
    this.countedAt = state.index;
    return [...this.counts].map(([id, replicas]) => ({
      node: id,
      replicas,
      sameDataCentre: this.fleet.nodes.find((n) => n.id === id)?.dataCentre === node.dataCentre,
    }));
  }

  private countOwned(): ReadonlyMap<NodeId, number> {
    const counts = new Map<NodeId, number>();
    for (const replica of this.fleet.state.replicas.values()) {
      const owner = this.fleet.ownerOf(replica);
      if (owner) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return counts;
  }

  private async plain(demand: Demand) {
    let left = demand.tokens;
    let firstTokenAt: Millis | undefined;
    for (let attempt = 0; attempt < attemptLimit; attempt += 1) {
      const engine = await this.choose();
      if (!engine) break;
      await clockHop(this.fleet);
      const result = await engine.run({
        promptTokens: demand.promptTokens + demand.tokens - left,
        tokens: left,
        priority: 0,
        cancellation: { cancelled: false },
      });
      await clockHop(this.fleet);
      this.freed(engine);
      left -= result.tokens;
      firstTokenAt ??= result.firstTokenAt;
      const endAt = this.fleet.clock.now();
      if (left <= 0) return { kind: 'complete' as const, firstTokenAt, endAt, preemptions: 0 };
    }
    const endAt = this.fleet.clock.now();
    return { kind: 'failed' as const, firstTokenAt, endAt, preemptions: 0 };
  }

  private async choose(): Promise<FakeEngine | undefined> {
    const ids = [...this.fleet.state.replicas.keys()];
    const load = (id: ReplicaId) =>
      (this.reports.get(id) ?? 0) / this.fleet.engines.get(id)!.kind.slots;
    const pick = () => ids[Math.floor(this.fleet.random.next() * ids.length)]!;
    switch (this.policy) {
      case 'round-robin':
        this.turn += 1;
        return this.fleet.engines.get(ids[this.turn % ids.length]!);
      case 'least-loaded':
        return this.fleet.engines.get(ids.reduce((a, b) => (load(b) < load(a) ? b : a)));
      case 'power-of-two': {
        const [a, b] = [pick(), pick()];
        return this.fleet.engines.get(load(b) < load(a) ? b : a);
      }
      case 'fifo':
      case 'owners':
        return this.nextFree();
      default:
        return undefined;
    }
  }

  /** A free engine in order of arrival, with exact counts. */
  private nextFree(): Promise<FakeEngine> {
    return new Promise((resolve) => {
      this.fifo.push(resolve);
      this.serveFifo();
    });
  }

  private serveFifo(): void {
    while (this.fifo.length > 0) {
      const free = [...this.fleet.engines.values()]
        .filter((e) => e.alive && (this.taken.get(e) ?? 0) < e.kind.slots)
        .sort((a, b) => this.shareOf(a) - this.shareOf(b))[0];
      if (!free) return;
      this.taken.set(free, (this.taken.get(free) ?? 0) + 1);
      this.fifo.shift()!(free);
    }
  }

  private shareOf(engine: FakeEngine): number {
    return (this.taken.get(engine) ?? 0) / engine.kind.slots;
  }

  private freed(engine: FakeEngine): void {
    if (this.policy !== 'fifo') return;
    this.taken.set(engine, (this.taken.get(engine) ?? 0) - 1);
    this.serveFifo();
  }

  private async report(): Promise<void> {
    while (!this.ended) {
      const seen = new Map([...this.fleet.engines].map(([id, e]) => [id, e.load]));
      await this.fleet.clock.sleep(reportLagMs);
      this.reports = seen;
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

function endOf(left: number, aborted: boolean): AttemptEnd {
  if (left <= 0) return 'complete';
  return aborted ? 'preempted' : 'failed';
}

function clockHop(fleet: Fleet): Promise<void> {
  return fleet.clock.sleep(fleet.site.betweenMs);
}
