/**
 * Scheduler of the replicas that this node owns. Entries, the nodes that accept the requests of
 * callers, acquire a grant for each attempt. A replica is never overcommitted, because one node
 * grants all of its slots.
 */

import { GrantId } from '@tanagercart/base';
import type { Clock, Millis, NodeId, ReplicaId, TierId } from '@tanagercart/base';
import type {
  AcquireCall,
  AcquireReply,
  Grant,
  ReleaseCall,
  ReleaseReply,
  Transport,
} from '@tanagercart/protocol';
import type { Tier } from '@tanagercart/release';
import type { Replica, SharedState, Upstream } from '@tanagercart/state';
import { findPlacement, prefillTokensFor } from './admission.js';
import type { Placement } from './admission.js';
import { auditGrants } from './audit.js';
import { Candidates } from './candidates.js';
import type { Candidate } from './candidates.js';
import { ArrivalForecasts } from './forecast.js';
import { findFasterReplica } from './displacement.js';
import { GrantTable } from './granttable.js';
import type { GrantRecord } from './granttable.js';
import { AnswerLengths } from './lengths.js';
import { findVictim, overrunPenalty } from './preemption.js';
import type { Victim } from './preemption.js';
import { FairQueue, effectiveUrgency } from './queue.js';
import type { QueuedRequest } from './queue.js';
import { predictLatenessMs, predictRoom, predictWaitMs, preemptionDelayMs, sum } from './wait.js';
import { overrunFactor } from './replica.js';
import type { ReplicaLoad } from './replica.js';

/**
 * An entry has to start the attempt within this time of the grant. The grant does not expire by
 * itself: an audit removes it if it was last sent at least this long ago and its entry does not
 * know it.
 */
const startWithinMs: Millis = 1000;

/** A call is held for at most this long until a slot is free (long polling). */
const maxHoldMs: Millis = 250;

/** Pause of an entry between two polls for a queued request. */
const againMs: Millis = 5;

/** A queued request that its entry has not polled for this long is removed. */
const pollExpiryMs: Millis = 1000;

/** A scheduling pass ends after this many requests for which no replica has a slot. */
const maxBlockedRequests = 6;

/** Time that an entry has to answer a preemption, in milliseconds. */
const preemptTimeoutMs: Millis = 500;

/** Pause before a retry to preempt a grant whose entry did not answer. */
const preemptRetryMs: Millis = 1000;

/** Lower bound of the retry-after time that a refused entry gets. */
const minRetryAfterMs: Millis = 100;

/** A request with a longer predicted wait is refused if the entry has other owners to ask. */
const spilloverWaitMs: Millis = 50;

export interface OwnerOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Whether this node can grant slots now; false without a valid lease. */
  readonly canGrant: () => boolean;
  readonly owns: (replica: Replica) => boolean;
  /** Whether the upstream is draining: it is about to shut down and gets no new requests. */
  readonly isLeaving: (upstream: Upstream) => boolean;
}

/** Numbers of waiting and of running requests of one tier at one owner. */
export interface TierQueue {
  readonly tier: TierId;
  readonly waiting: number;
  readonly running: number;
}

type OwnerRefusalReason = 'no-lease' | 'no-replica' | 'promise-unreachable';

/** Queues the calls of entries and grants them slots on the replicas of this node. */
export class Owner {
  private readonly candidates: Candidates;
  private readonly queue = FairQueue.create();
  private readonly answerLengths = AnswerLengths.create();
  private readonly arrivals: ArrivalForecasts;
  private readonly grants = GrantTable.create();
  private lastGrantNumber = 0;
  private lastCheckedView = -1;
  /** Whether the last scheduling pass skipped a request because its entry was between two polls. */
  private hasUnpolledRequests = false;

  private constructor(private readonly o: OwnerOptions) {
    this.candidates = Candidates.create(o);
    this.arrivals = ArrivalForecasts.create(o.clock);
  }

  static create(options: OwnerOptions): Owner {
    const owner = new Owner(options);
    options.transport.serve('acquire', (from, call) => owner.acquire(from, call));
    options.transport.serve('release', async (_, call) => owner.release(call));
    return owner;
  }

  get grantsInUse(): number {
    return this.grants.size;
  }

  /** Number of waiting requests. */
  get queueLength(): number {
    return this.queue.size;
  }

  /** Waiting and running requests of each tier that has any, sorted by tier. */
  queues(): readonly TierQueue[] {
    const running = [...this.grants.all].map(({ held }) => held.call.tier);
    const waiting = this.queue.requests.map((r) => r.call.tier);
    const count = (list: readonly TierId[], tier: TierId) => list.filter((t) => t === tier).length;
    return [...new Set([...running, ...waiting])]
      .sort()
      .map((tier) => ({ tier, waiting: count(waiting, tier), running: count(running, tier) }));
  }

  /** Number of grants in use on each replica that has any. */
  runningByReplica(): ReadonlyMap<ReplicaId, number> {
    return new Map(
      [...this.candidates.loads].filter((l) => l.running > 0).map((l) => [l.id, l.running]),
    );
  }

  /** Task: removes grants that are unknown to their entries, until `signal` aborts. */
  audit(signal: AbortSignal): Promise<void> {
    const { clock, transport } = this.o;
    const removeGrant = (grantId: GrantId) => {
      this.removeGrant(grantId);
      this.schedule();
    };
    const { grants } = this;
    return auditGrants({ clock, transport, grants, minAgeMs: startWithinMs, removeGrant }, signal);
  }

  /**
   * Answers an entry that wants a slot. A repeated call gets the same grant again. A request that
   * would miss its deadline, or that another owner may serve sooner, is refused at once.
   */
  private async acquire(from: NodeId, call: AcquireCall): Promise<AcquireReply> {
    if (!this.o.canGrant()) return refusal('no-lease', minRetryAfterMs);
    const attemptKey = `${call.request}|${call.attempt}`;
    const existingGrant = this.grants.findForResend(attemptKey, this.o.clock.now());
    if (existingGrant) return { kind: 'granted', grant: existingGrant };
    const candidates = this.findCandidates(call);
    if (candidates.length === 0) return refusal('no-replica', minRetryAfterMs);
    const queued = this.queue.get(attemptKey);
    const request = queued ?? this.enqueue(attemptKey, from, call);
    const latenessMs = predictLatenessMs(this.queue, request, candidates, this.o.clock.now());
    if (latenessMs > 0) {
      this.queue.remove(attemptKey);
      const room = predictRoom(this.queue, request, candidates, this.o.clock.now());
      return { ...refusal('promise-unreachable', latenessMs), room };
    }
    if (
      call.othersLeft &&
      predictWaitMs(this.queue, request, candidates, this.o.clock.now()) > spilloverWaitMs
    ) {
      this.queue.remove(attemptKey);
      const room = predictRoom(this.queue, request, candidates, this.o.clock.now());
      return { ...refusal('promise-unreachable', minRetryAfterMs), room };
    }
    return this.holdCall(request, queued === undefined || this.hasUnpolledRequests);
  }

  /** Replicas for a call; those with an open circuit breaker only if there are no others. */
  private findCandidates(call: AcquireCall): readonly Candidate[] {
    const all = this.candidates.find(call);
    const healthy = all.filter((c) => !c.load.isCircuitOpen(this.o.clock.now()));
    return healthy.length > 0 ? healthy : all;
  }

  /** Queues a new request. A request whose earlier attempts overran the estimate is less urgent. */
  private enqueue(attemptKey: string, entry: NodeId, call: AcquireCall): QueuedRequest {
    const { clock, state } = this.o;
    const account = state.release.clientAccounts.get(call.account);
    const tier = account && state.release.tierOf(account, call.tier);
    const now = clock.now();
    const expectedTokens = this.answerLengths.estimate(call.account, call.tier, call.maxTokens);
    const hasOverrun = (call.passedTokens ?? 0) > overrunFactor * expectedTokens;
    const urgency = urgencyOf(tier) + (hasOverrun ? overrunPenalty : 0);
    this.arrivals.recordArrival(urgency);
    const request: QueuedRequest = {
      attemptKey,
      call,
      entry,
      urgency,
      firstTokenMs: tier?.firstTokenMs ?? call.budgetMs,
      tokenGapMs: tier?.tokenGapMs ?? Infinity,
      arrivedAt: now,
      deadline: now + call.budgetMs,
      expectedTokens,
      startTag: this.queue.assignStartTag(
        call.account,
        urgency,
        expectedTokens,
        account?.weight ?? 1,
      ),
      polledAt: now,
      reply: undefined,
    };
    this.queue.add(request);
    return request;
  }

  /** Holds a call until its request gets a grant, for at most `maxHoldMs`. */
  private async holdCall(request: QueuedRequest, scheduleNow: boolean): Promise<AcquireReply> {
    const stop = new AbortController();
    const granted = new Promise<AcquireReply>((resolve) => {
      request.reply = resolve;
    });
    request.polledAt = this.o.clock.now();
    if (scheduleNow) this.schedule();
    const timedOut = this.o.clock
      .sleep(maxHoldMs, stop.signal)
      .then((): AcquireReply => ({ kind: 'queued', againMs }));
    const reply = await Promise.race([granted, timedOut]);
    stop.abort();
    request.reply = undefined;
    return reply;
  }

  /** Scheduling pass: grants slots to the waiting requests, in the order of the queue. */
  private schedule(): void {
    if (!this.o.canGrant()) return;
    const now = this.o.clock.now();
    this.removeOrphanedGrants();
    this.hasUnpolledRequests = false;
    let blocked = 0;
    const claimedSlots = new Map<ReplicaLoad, number>();
    for (const request of [...this.queue.inOrder(now)]) {
      if (blocked >= maxBlockedRequests) return;
      if (!request.reply) {
        this.hasUnpolledRequests = true;
        this.removeIfUnpolled(request, now);
        continue;
      }
      const candidates = this.findCandidates(request.call);
      const reservedSlots = this.arrivals.moreUrgentWithin(
        effectiveUrgency(request, now),
        preemptionDelayMs,
      );
      const { call, tokenGapMs, expectedTokens } = request;
      const admissionRequest = { call, tokenGapMs, expectedTokens, reservedSlots };
      const placement = findPlacement(admissionRequest, candidates, now);
      const faster =
        placement &&
        findFasterReplica(
          request.urgency,
          admissionRequest,
          placement,
          candidates,
          claimedSlots,
          now,
        );
      if (faster) {
        claimedSlots.set(faster.load, (claimedSlots.get(faster.load) ?? 0) + 1);
        if (faster.victim) void this.preempt(faster.victim);
        continue;
      }
      if (placement) {
        this.grant(request, placement, now);
        continue;
      }
      this.preemptFor(request, candidates, blocked, now);
      blocked += 1;
    }
  }

  /** Removes the grants of entries that went down or restarted, once in each view. */
  private removeOrphanedGrants(): void {
    const { nodes, view } = this.o.state;
    if (view === this.lastCheckedView) return;
    this.lastCheckedView = view;
    for (const { held } of [...this.grants.all]) {
      if (nodes.get(held.entry)?.incarnation !== held.incarnation) this.removeGrant(held.grant.id);
    }
  }

  /** Removes a request that its entry no longer polls. */
  private removeIfUnpolled(request: QueuedRequest, now: Millis): void {
    if (now - request.polledAt > pollExpiryMs) this.queue.remove(request.attemptKey);
  }

  private grant(request: QueuedRequest, { candidate, firstTokenMs }: Placement, now: Millis): void {
    const { load } = candidate;
    const prefillTokens = prefillTokensFor(candidate, request.call, now);
    load.prefixCache.recordPrompt(request.call.prefix, now);
    this.lastGrantNumber += 1;
    const grant: Grant = {
      id: GrantId(`${this.o.self}-${this.o.state.view}-${this.lastGrantNumber}`),
      replica: candidate.replica.id,
      owner: this.o.self,
      // The view is the fencing token of the grant.
      epoch: this.o.state.view,
      startWithinMs,
      // The urgency of the request is called `priority` in messages; 0 is the most urgent in both.
      priority: request.urgency,
      stages: candidate.stages,
    };
    this.grants.add(load, {
      grant,
      attemptKey: request.attemptKey,
      entry: request.entry,
      call: request.call,
      urgency: request.urgency,
      tokenGapMs: request.tokenGapMs,
      grantedAt: now,
      lastSentAt: now,
      expectedTokens: request.expectedTokens,
      runningAtGrant: load.running + 1,
      prefillTokensAtGrant: prefillTokens,
      prefillEndsAt: now + firstTokenMs,
      isBeingPreempted: false,
      preemptRetryAt: now,
      incarnation: this.o.state.nodes.get(request.entry)?.incarnation,
    });
    this.queue.remove(request.attemptKey);
    this.queue.advanceVirtualTime(request);
    const room = predictRoom(
      this.queue,
      request,
      this.findCandidates(request.call),
      this.o.clock.now(),
    );
    request.reply?.({ kind: 'granted', grant, room });
  }

  /**
   * Preempts a grant for a request, unless a slot is already being freed for it, after those for
   * the `blockedBefore` requests ahead.
   */
  private preemptFor(
    request: QueuedRequest,
    candidates: readonly Candidate[],
    blockedBefore: number,
    now: Millis,
  ): void {
    const slotsBeingFreed = sum(
      candidates,
      (c) => c.load.freeSlotsAfterPreemption - c.load.freeSlots,
    );
    if (slotsBeingFreed > blockedBefore) return;
    const victim = findVictim(request.urgency, candidates, now);
    if (victim) void this.preempt(victim);
  }

  /** Asks the entry of a grant to release it. */
  private async preempt({ held }: Victim): Promise<void> {
    held.isBeingPreempted = true;
    const options = { timeoutMs: preemptTimeoutMs };
    const call = { grant: held.grant.id };
    const reply = await this.o.transport.call(held.entry, 'preempt', call, options);
    if (reply.isOk() && !reply.value.known) {
      this.removeGrant(held.grant.id);
      this.schedule();
    }
    if (reply.isErr()) {
      held.isBeingPreempted = false;
      held.preemptRetryAt = this.o.clock.now() + preemptRetryMs;
    }
  }

  private release(call: ReleaseCall): ReleaseReply {
    const record = this.removeGrant(call.grant);
    if (record) this.recordOutcome(record, call);
    this.schedule();
    return { known: record !== undefined };
  }

  private removeGrant(id: GrantId): GrantRecord | undefined {
    const record = this.grants.remove(id);
    if (record) this.candidates.prune();
    return record;
  }

  /** Updates the backoff of the replica and the predictions from the outcome of an attempt. */
  private recordOutcome({ load, held }: GrantRecord, call: ReleaseCall): void {
    if (call.end === 'failed') load.recordFailure(this.o.clock.now());
    if (call.end === 'complete') load.recordSuccess();
    if (call.firstTokenMs === undefined) return;
    load.latency.observeFirstToken(
      held.runningAtGrant,
      held.prefillTokensAtGrant,
      call.firstTokenMs,
    );
    if (call.end !== 'complete') return;
    const decodeMs = this.o.clock.now() - held.grantedAt - call.firstTokenMs;
    this.answerLengths.observe(held.call.account, held.call.tier, call.tokens);
    if (call.tokens > 1) load.latency.observeStep(load.running + 1, decodeMs / (call.tokens - 1));
  }
}

/** Urgency of a tier; requests of an unknown tier are the least urgent. */
function urgencyOf(tier: Tier | undefined): number {
  return tier?.urgency ?? Number.MAX_SAFE_INTEGER;
}

function refusal(reason: OwnerRefusalReason, retryAfterMs: Millis): AcquireReply {
  return { kind: 'refused', reason, retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs) };
}
