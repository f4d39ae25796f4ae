/** The targets that one request may still be sent to, by what its attempts have shown. */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Availability } from './availability.js';
import type { Balancer, NoTarget, Selection, Target } from './balancer.js';
import { maxPermitWaitMs } from './permitwait.js';
import type { RequestState } from './requeststate.js';

/** After this many refusals of permits, an attempt goes only to upstreams without a limit. */
const maxPermitRefusals = 6;

/** Longest wait of an interrupted stream for a target, before its caller disconnects. */
const maxTargetWaitMs: Millis = 1000;

/** Interval at which such a stream looks for a target. */
const targetPollMs: Millis = 50;

export interface TargetsOptions {
  readonly clock: Clock;
  readonly balancer: Balancer;
  readonly availability: Availability;
}

/** Finds targets for attempts. */
export class Targets {
  private constructor(private readonly o: TargetsOptions) {}

  static create(options: TargetsOptions): Targets {
    return new Targets(options);
  }

  /**
   * Picks a target and waits for the permit to send it the request. A stream that has begun and has
   * no attempt left also waits for a target, as it could only be cut.
   */
  async acquire(state: RequestState, stop: AbortSignal): Promise<Target | NoTarget> {
    const { clock, balancer, availability } = this.o;
    const maxWaitMs = maxPermitWaitMs(state.call, state.delivery?.started ?? false);
    const refused = new Set<UpstreamId>();
    const waitsUntil = clock.now() + maxTargetWaitMs;
    for (;;) {
      const target = this.pick(state, refused, maxWaitMs);
      if (typeof target === 'string') {
        const waits = isInterrupted(state) && clock.now() < waitsUntil && !stop.aborted;
        if (!waits) return target;
        await clock.sleep(targetPollMs, stop);
        continue;
      }
      const { upstream } = target;
      const permit = await availability.acquire(upstream, maxWaitMs, stop);
      if (stop.aborted) return target;
      if (permit.kind === 'refused') {
        refused.add(upstream.id);
        state.log.info('No permit.', { upstream: upstream.id, waitMs: Math.round(permit.waitMs) });
      } else if (balancer.isReady(upstream)) return target;
    }
  }

  /** Whether another upstream than `receiver` may run the request. */
  mayRunElsewhere(state: RequestState, receiver: UpstreamId): boolean {
    const { call, attempts } = state;
    const others = [...attempts.mayHaveRun].filter((id) => id !== receiver);
    if (others.length + 1 < call.route.maxAttempts) return true;
    return others.some((id) => this.mayReceive(state, id));
  }

  /** Whether an upstream that may have run the request may get it again. */
  mayRunAgain(state: RequestState): boolean {
    return [...state.attempts.mayHaveRun].some((id) => this.mayReceive(state, id));
  }

  private pick(
    state: RequestState,
    refused: ReadonlySet<UpstreamId>,
    maxWaitMs: Millis,
  ): Target | NoTarget {
    const { call, exclusions, attempts } = state;
    // Once the route's attempts are used up, only upstreams that may have run it get it again.
    const { mayHaveRun } = attempts;
    const attemptsExhausted = mayHaveRun.size >= call.route.maxAttempts;
    const selection: Selection = {
      isExcluded: (u) => isExcludedNow(state, u),
      isAvoided: (u) => exclusions.isAvoided(u),
      receivers: attemptsExhausted ? mayHaveRun : undefined,
      withoutPermit: refused.size < maxPermitRefusals ? refused : 'all-limited',
      maxWaitMs,
      targetLeftMs: call.startedAt + call.route.latencyTargetMs - this.o.clock.now(),
    };
    // It counts as run at this one already, and nothing is held against it.
    const { lastCrossed } = exclusions;
    const again =
      lastCrossed === undefined
        ? undefined
        : this.o.balancer.pick(call, { ...selection, receivers: new Set([lastCrossed]) });
    return again === undefined || typeof again === 'string'
      ? this.o.balancer.pick(call, selection)
      : again;
  }

  /** Whether an upstream is still there, and the request may be sent to it again. */
  private mayReceive(state: RequestState, id: UpstreamId): boolean {
    const upstream = this.o.balancer.upstreamWith(id);
    return upstream !== undefined && !isExcludedNow(state, upstream);
  }
}

/**
 * Whether a request is not sent to an upstream at present: it has failed for it, or is silent with an
 * attempt that may go on.
 */
function isExcludedNow({ exclusions, attempts }: RequestState, upstream: UpstreamRecord): boolean {
  return exclusions.isExcluded(upstream) || attempts.isBlamed(upstream);
}

/** Whether the caller has received a part of a stream that no attempt continues at present. */
function isInterrupted({ delivery, attempts }: RequestState): boolean {
  return (delivery?.started ?? false) && attempts.areOver;
}
