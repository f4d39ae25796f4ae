/**
 * What this entry believes of upstreams by their own answers: that they leave, that they want no
 * requests of this node for a while, and the rate at which they accept requests. A belief holds for
 * one incarnation, whatever records and heartbeats say of it.
 */

import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  Random,
  RequestId,
  UpstreamId,
} from '@tanagercart/base';
import type { Pacer, Permit, RateLimit } from '@tanagercart/pacing';
import type { UpstreamIncarnation } from '@tanagercart/protocol';

/** What the answer to a request says of its upstream. */
export interface UpstreamNotices {
  /** Whether the upstream is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which it wants no further request of this node; undefined if it names none. */
  readonly backOffMs: Millis | undefined;
  readonly rateLimit: RateLimit;
  /** Whether it did not run the request and will not. */
  readonly notRun: boolean;
}

/** Longest back-off; an upstream that names a longer one is tried again after this time. */
export const maxBackOffMs: Millis = 10 * 60_000;

/** A back-off is longer than was asked for by up to this share of it, drawn at random. */
const backOffSpread = 0.1;

/** An upstream that has left stays known for this long, in which its record may lag behind. */
const leavingMemoryMs: Millis = 10 * 60_000;

/** The latest of the beliefs about one incarnation. */
interface Belief {
  readonly born: number;
  /** Time of the last answer that said so. */
  readonly leavingAt: Millis | undefined;
  /** End of the back-off. */
  readonly backOffUntil: Millis;
}

export interface AvailabilityOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly pacer: Pick<Pacer, 'record' | 'isLimited' | 'waitMsOf' | 'acquire'>;
}

/** Tells which upstreams may be sent requests, as far as their answers say. */
export class Availability {
  private readonly beliefs = new Map<UpstreamId, Belief>();

  private constructor(private readonly o: AvailabilityOptions) {}

  static create(options: AvailabilityOptions): Availability {
    return new Availability(options);
  }

  /** Records what the answer to a request said of its upstream. */
  record(request: RequestId, upstream: UpstreamIncarnation, notices: UpstreamNotices): void {
    const { logger, metrics, pacer } = this.o;
    pacer.record(request, upstream, notices.rateLimit);
    if (notices.isLeaving) this.recordLeaving(upstream, request);
    const { backOffMs } = notices;
    if (backOffMs === undefined || backOffMs <= 0) return;
    const forMs = this.startBackOff(upstream, backOffMs);
    metrics.count('upstream.notice', { kind: 'back-off' });
    logger.info('The upstream wants no requests for a while.', {
      request,
      upstream: upstream.id,
      askedMs: Math.round(backOffMs),
      forMs: Math.round(forMs),
    });
  }

  /** Records that an upstream says it leaves; `request` is the one that it answered, if any. */
  recordLeaving(upstream: UpstreamIncarnation, request?: RequestId): void {
    const { clock, logger, metrics } = this.o;
    const isNews = !this.isLeaving(upstream);
    this.update(upstream, { leavingAt: clock.now() });
    if (!isNews) return;
    metrics.count('upstream.notice', { kind: 'leaving' });
    logger.info('The upstream says that it leaves.', { request, upstream: upstream.id });
  }

  /** Whether the upstream said that it leaves. */
  isLeaving(upstream: UpstreamIncarnation): boolean {
    return this.beliefOf(upstream)?.leavingAt !== undefined;
  }

  /** The upstreams that said so. */
  get leaving(): readonly UpstreamIncarnation[] {
    return [...this.beliefs].flatMap(([id, { born, leavingAt }]) =>
      leavingAt === undefined ? [] : [{ id, born }],
    );
  }

  /** Time until the upstream accepts requests of this node again; 0 where it asked for no pause. */
  backOffMsOf(upstream: UpstreamIncarnation): Millis {
    const until = this.beliefOf(upstream)?.backOffUntil ?? -Infinity;
    return Math.max(0, until - this.o.clock.now());
  }

  /** Whether the upstream takes requests of this node, as far as its answers say. */
  acceptsRequests(upstream: UpstreamIncarnation): boolean {
    return !this.isLeaving(upstream) && this.backOffMsOf(upstream) === 0;
  }

  /** Whether requests to the upstream need a permit. */
  isLimited(upstream: UpstreamIncarnation): boolean {
    return this.o.pacer.isLimited(upstream);
  }

  /** Time until a request may be sent to the upstream, as far as this entry knows. */
  waitMsOf(upstream: UpstreamIncarnation): Millis {
    return Math.max(this.backOffMsOf(upstream), this.o.pacer.waitMsOf(upstream));
  }

  /** Waits for the permit to send a request, where the upstream named a limit. */
  acquire(upstream: UpstreamIncarnation, maxWaitMs: Millis, stop: AbortSignal): Promise<Permit> {
    return this.o.pacer.acquire(upstream, maxWaitMs, stop);
  }

  /** Extends the back-off from an upstream; returns for how long it lasts from now. */
  private startBackOff(upstream: UpstreamIncarnation, askedMs: Millis): Millis {
    const { clock, random } = this.o;
    // The spread keeps the nodes that were told at once from returning at once.
    const forMs = Math.min(askedMs, maxBackOffMs) * (1 + backOffSpread * random.next());
    const until = Math.max(clock.now() + forMs, this.beliefOf(upstream)?.backOffUntil ?? 0);
    this.update(upstream, { backOffUntil: until });
    return until - clock.now();
  }

  private beliefOf({ id, born }: UpstreamIncarnation): Belief | undefined {
    const belief = this.beliefs.get(id);
    return belief?.born === born ? belief : undefined;
  }

  private update(upstream: UpstreamIncarnation, change: Partial<Belief>): void {
    this.dropOutdated();
    const { id, born } = upstream;
    const known = this.beliefs.get(id);
    // A late answer of an earlier incarnation says nothing of the present one.
    if (known && known.born > born) return;
    const before = this.beliefOf(upstream) ?? { leavingAt: undefined, backOffUntil: -Infinity };
    this.beliefs.set(id, { ...before, ...change, born });
  }

  private dropOutdated(): void {
    const now = this.o.clock.now();
    for (const [id, { leavingAt = -Infinity, backOffUntil }] of this.beliefs) {
      if (backOffUntil <= now && now - leavingAt >= leavingMemoryMs) this.beliefs.delete(id);
    }
  }
}
