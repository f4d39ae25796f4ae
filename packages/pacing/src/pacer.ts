/** The entry's side of permits: holds requests until their upstream accepts them, or refuses them. */

import { OwnerTable, silentLogger } from '@tanagercart/base';
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  NodeId,
  RequestId,
  UpstreamId,
} from '@tanagercart/base';
import type {
  CallOf,
  LimitNotice,
  PermitReply,
  ReplyOf,
  Transport,
  UpstreamIncarnation,
} from '@tanagercart/protocol';
import { NamedLimits } from './namedlimits.js';
import { PermitSchedule, permitRate } from './permitschedule.js';
import { PermitServer } from './permitserver.js';
import type { RateLimit } from './ratelimit.js';

/** Time for another node to answer. */
const answerTimeoutMs: Millis = 200;

/** A node that did not answer is not asked again for this long. */
const avoidMs: Millis = 1000;

/** What responses told this node is reported to others for this long. */
const reportMs: Millis = 2500;

/** Time that news may have been under way in addition to its age. */
const transitMs: Millis = 100;

/** A permit that was not used within this time after it was due has expired. */
const permitLifetimeMs: Millis = 300;

/** How often a permit is asked for, as one that expired in a process that was held up is not used. */
const maxTries = 2;

/** Whether a request may be sent now; if not, `waitMs` is the time until a permit may be free. */
export type Permit =
  { readonly kind: 'granted' } | { readonly kind: 'refused'; readonly waitMs: Millis };

export interface PacerOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The nodes that send requests to upstreams. */
  readonly nodes: () => readonly NodeId[];
}

/** The time from which an incarnation of an upstream may have a permit again. */
interface FreeFrom {
  readonly born: number;
  readonly at: Millis;
}

/** Paces the requests of this entry to upstreams that have named a limit. */
export class Pacer {
  private readonly limits: NamedLimits;
  /** What responses to this entry told of limits, without what other nodes know. */
  private readonly observed: NamedLimits;
  private readonly server: PermitServer;
  /** Owners of permits, and the standbys that are asked where an owner fails. */
  private owners = OwnerTable.create<UpstreamId, NodeId>([]);
  private readonly freeFrom = new Map<UpstreamId, FreeFrom>();
  private readonly unansweredAt = new Map<NodeId, Millis>();
  /** Schedules of an even share of a limit, while no node answers. */
  private readonly ownShares = new Map<UpstreamId, PermitSchedule>();

  private constructor(private readonly o: PacerOptions) {
    this.limits = NamedLimits.create(o.clock, o.logger);
    this.observed = NamedLimits.create(o.clock, silentLogger);
    this.server = PermitServer.create(o.clock, this.limits);
  }

  /** Creates a pacer that also answers the calls of other nodes. */
  static create(options: PacerOptions): Pacer {
    const pacer = new Pacer(options);
    const { transport } = options;
    transport.serve('permit', async (from, call) => pacer.server.handle(from, call));
    transport.serve('notice', async (from, notice) => {
      pacer.limits.record(notice, { from });
      return pacer.limits.noticeOf({ id: notice.upstream, born: notice.born });
    });
    return pacer;
  }

  /** Records what the response to a request says of the limit of its upstream. */
  record(request: RequestId, upstream: UpstreamIncarnation, limit: RateLimit): void {
    if (limit.kind === 'malformed') {
      const fields = { request, upstream: upstream.id, text: limit.text };
      this.o.logger.warn('Upstream named a malformed limit.', fields);
      return;
    }
    const perSecond = limit.kind === 'limited' ? limit.perSecond : undefined;
    const notice = { upstream: upstream.id, born: upstream.born, perSecond, ageMs: 0 };
    this.observed.record(notice, {});
    const changed = this.limits.record(notice, { request });
    // The next call for a permit tells the owner of a limit; without a limit there is none.
    if (changed && limit.kind === 'unlimited') void this.tellOwner(notice);
  }

  /** What responses told this entry of limits lately, for the other nodes. */
  get reports(): readonly LimitNotice[] {
    return this.observed.notices.filter((n) => n.ageMs < reportMs);
  }

  /** Records what other entries were told of limits. */
  learn(notices: readonly LimitNotice[]): void {
    for (const n of notices) {
      this.limits.record({ ...n, ageMs: n.ageMs + transitMs }, { source: 'bulletin' });
    }
  }

  /** Whether requests to the upstream need a permit. */
  isLimited(upstream: UpstreamIncarnation): boolean {
    return this.limits.perSecondOf(upstream) !== undefined;
  }

  /** Time until a permit of the upstream may be free, as far as this entry knows; 0 at the least. */
  waitMsOf(upstream: UpstreamIncarnation): Millis {
    if (!this.isLimited(upstream)) return 0;
    const free = this.freeFrom.get(upstream.id);
    return free?.born === upstream.born ? Math.max(0, free.at - this.o.clock.now()) : 0;
  }

  /**
   * Resolves once a request may be sent to the upstream, or with a refusal where that takes longer
   * than `maxWaitMs`. `stop` ends the wait.
   */
  async acquire(
    upstream: UpstreamIncarnation,
    maxWaitMs: Millis,
    stop: AbortSignal,
  ): Promise<Permit> {
    const { clock, metrics } = this.o;
    for (let tries = 0; tries < maxTries; tries += 1) {
      if (!this.isLimited(upstream)) return { kind: 'granted' };
      const askedAt = clock.latest();
      const reply = await this.ask(upstream, maxWaitMs);
      if (reply.kind === 'unlimited') return { kind: 'granted' };
      metrics.count('permit.answered', { outcome: reply.kind });
      const { waitMs } = reply;
      if (reply.kind === 'refused') {
        this.recordWait(upstream, waitMs);
        return { kind: 'refused', waitMs };
      }
      await clock.sleep(waitMs, stop);
      if (clock.latest() - askedAt <= waitMs + permitLifetimeMs) return { kind: 'granted' };
      metrics.count('permit.expired');
    }
    return { kind: 'refused', waitMs: 0 };
  }

  /** Asks the owner, then the standby; decides by this entry's own share where neither answers. */
  private async ask(upstream: UpstreamIncarnation, maxWaitMs: Millis): Promise<PermitReply> {
    const { self, metrics } = this.o;
    const owners = this.currentOwners();
    const first = owners.ownerOf(upstream.id) ?? self;
    for (const owner of [first, owners.standbyOf(upstream.id)]) {
      if (owner === undefined || this.isAvoided(owner)) continue;
      const asStandby = owner !== first;
      const call = { notice: this.limits.noticeOf(upstream), maxWaitMs, asStandby };
      const reply =
        owner === self
          ? this.server.handle(self, call)
          : await this.callNode(owner, 'permit', call);
      if (!reply) continue;
      this.limits.record(reply.notice, { from: owner });
      this.ownShares.delete(upstream.id);
      return reply;
    }
    metrics.count('permit.unanswered');
    return this.reserveOwnShare(upstream, maxWaitMs);
  }

  /** Records for how long an upstream has no permits, and drops the waits that are over. */
  private recordWait({ id, born }: UpstreamIncarnation, waitMs: Millis): void {
    const now = this.o.clock.now();
    for (const [other, { at }] of this.freeFrom) if (at <= now) this.freeFrom.delete(other);
    this.freeFrom.set(id, { born, at: now + waitMs });
  }

  /** Takes a permit from an even share of the limit. */
  private reserveOwnShare(upstream: UpstreamIncarnation, maxWaitMs: Millis): PermitReply {
    const { clock, nodes } = this.o;
    const notice = this.limits.noticeOf(upstream);
    if (notice.perSecond === undefined) return { kind: 'unlimited', notice };
    const now = clock.now();
    const rate = permitRate(notice.perSecond) / Math.max(1, nodes().length);
    const schedule = this.ownShares.get(upstream.id) ?? PermitSchedule.create(rate, now);
    this.ownShares.set(upstream.id, schedule);
    return { ...schedule.reserve(rate, maxWaitMs, now), notice };
  }

  private currentOwners(): OwnerTable<UpstreamId, NodeId> {
    const nodes = this.o.nodes();
    if (!this.owners.isFor(nodes)) this.owners = OwnerTable.create(nodes);
    return this.owners;
  }

  /** Tells the owner of an upstream's permits what this node knows of its limit. */
  private async tellOwner(notice: LimitNotice): Promise<void> {
    const owner = this.currentOwners().ownerOf(notice.upstream);
    if (owner === undefined || owner === this.o.self) return;
    const reply = await this.callNode(owner, 'notice', notice);
    if (reply) this.limits.record(reply, { from: owner });
  }

  private isAvoided(node: NodeId): boolean {
    return this.o.clock.now() - (this.unansweredAt.get(node) ?? -Infinity) < avoidMs;
  }

  /** Calls a node once; undefined where it does not answer, and it is then avoided for a while. */
  private async callNode<K extends 'permit' | 'notice'>(
    node: NodeId,
    kind: K,
    call: CallOf<K>,
  ): Promise<ReplyOf<K> | undefined> {
    const { transport, clock, logger } = this.o;
    const reply = await transport.call(node, kind, call, { timeoutMs: answerTimeoutMs });
    if (reply.isOk()) {
      this.unansweredAt.delete(node);
      return reply.value;
    }
    if (!this.isAvoided(node)) logger.warn('No answer about a permit.', { node, ...reply.error });
    this.unansweredAt.set(node, clock.now());
    return undefined;
  }
}
