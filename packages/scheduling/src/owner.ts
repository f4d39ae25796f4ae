/** Grants slots on the replicas that this node owns. */

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
import { overrunPenalty, findVictim } from './preemption.js';
import type { Victim } from './preemption.js';
import { FairQueue, effectiveUrgency } from './queue.js';
import type { QueuedRequest } from './queue.js';
import { predictLatenessMs, preemptionDelayMs, predictRoom, sum, predictWaitMs } from './wait.js';
import { overrunFactor } from './replicaload.js';
import type { ReplicaLoad } from './replicaload.js';

/** A grant that was not used for this long has lapsed, in milliseconds. */
const startWithinMs: Millis = 1000;

/** How long a call is held for a slot to come free, in milliseconds. */
const maxHoldMs: Millis = 250;

/** Pause before a queued entry asks again, in milliseconds. */
const againMs: Millis = 5;

/** A ticket that was not asked for during this time lapses, in milliseconds. */
const pollExpiryMs: Millis = 1000;

/** Tickets that are passed over before a look at the queue ends. */
const maxBlockedRequests = 6;

/** How long an entry may take to answer a preemption, in milliseconds. */
const preemptTimeoutMs: Millis = 500;

/** Pause before a grant whose entry did not answer is asked for again, in milliseconds. */
const preemptRetryMs: Millis = 1000;

/** Least wait that a refused caller is told, in milliseconds. */
const minRetryAfterMs: Millis = 100;

/** Wait from which a caller that has other owners left is sent on, in milliseconds. */
const spilloverWaitMs: Millis = 50;

/** What an owner needs. */
export interface OwnerOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Whether this node may give grants at the moment. */
  readonly canGrant: () => boolean;
  readonly owns: (replica: Replica) => boolean;
  readonly isLeaving: (upstream: Upstream) => boolean;
}

/** How many requests of a tier wait and run at one owner. */
export interface TierQueue {
  readonly tier: TierId;
  readonly waiting: number;
  readonly running: number;
}

type OwnerRefusalReason = 'no-lease' | 'no-replica' | 'promise-unreachable';

/** The owner's side of admission for the replicas of one node. */
export class Owner {
  private readonly candidates: Candidates;
  private readonly queue = FairQueue.create();
  private readonly answerLengths = AnswerLengths.create();
  private readonly arrivals: ArrivalForecasts;
  private readonly grants = GrantTable.create();
  private lastGrantNumber = 0;
  private lastCheckedView = -1;
  /** Whether a ticket was passed over because its entry was not asking. */
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

  /** Grants in use. */
  get grantsInUse(): number {
    return this.grants.size;
  }

  /** Requests that wait. */
  get queueLength(): number {
    return this.queue.size;
  }

  /** Requests of each tier that wait and that run, by tier. */
  queues(): readonly TierQueue[] {
    const running = [...this.grants.all].map(({ held }) => held.call.tier);
    const waiting = this.queue.requests.map((t) => t.call.tier);
    const count = (list: readonly TierId[], tier: TierId) => list.filter((t) => t === tier).length;
    return [...new Set([...running, ...waiting])]
      .sort()
      .map((tier) => ({ tier, waiting: count(waiting, tier), running: count(running, tier) }));
  }

  /** Grants in use on each replica with any. */
  runningByReplica(): ReadonlyMap<ReplicaId, number> {
    return new Map(
      [...this.candidates.loads].filter((l) => l.running > 0).map((l) => [l.id, l.running]),
    );
  }

  /** Task: drops grants that their entries do not hold, until `signal` aborts. */
  audit(signal: AbortSignal): Promise<void> {
    const { clock, transport } = this.o;
    const drop = (grant: GrantId) => {
      this.removeGrant(grant);
      this.schedule();
    };
    const { grants: book } = this;
    return auditGrants(
      { clock, transport, grants: book, minAgeMs: startWithinMs, removeGrant: drop },
      signal,
    );
  }

  private async acquire(from: NodeId, call: AcquireCall): Promise<AcquireReply> {
    if (!this.o.canGrant()) return refusal('no-lease', minRetryAfterMs);
    const key = `${call.request}|${call.attempt}`;
    const again = this.grants.findForResend(key, this.o.clock.now());
    if (again) return { kind: 'granted', grant: again };
    const candidates = this.findCandidates(call);
    if (candidates.length === 0) return refusal('no-replica', minRetryAfterMs);
    const known = this.queue.get(key);
    const ticket = known ?? this.enqueue(key, from, call);
    const lateMs = predictLatenessMs(this.queue, ticket, candidates, this.o.clock.now());
    if (lateMs > 0) {
      this.queue.remove(key);
      const room = predictRoom(this.queue, ticket, candidates, this.o.clock.now());
      return { ...refusal('promise-unreachable', lateMs), room };
    }
    if (
      call.othersLeft &&
      predictWaitMs(this.queue, ticket, candidates, this.o.clock.now()) > spilloverWaitMs
    ) {
      this.queue.remove(key);
      const room = predictRoom(this.queue, ticket, candidates, this.o.clock.now());
      return { ...refusal('promise-unreachable', minRetryAfterMs), room };
    }
    return this.holdCall(ticket, known === undefined || this.hasUnpolledRequests);
  }

  /** Replicas for a call; those that rest after a failure only where there are no others. */
  private findCandidates(call: AcquireCall): readonly Candidate[] {
    const all = this.candidates.find(call);
    const fit = all.filter((c) => !c.load.isBackingOff(this.o.clock.now()));
    return fit.length > 0 ? fit : all;
  }

  private enqueue(key: string, entry: NodeId, call: AcquireCall): QueuedRequest {
    const { clock, state } = this.o;
    const account = state.release.clientAccounts.get(call.account);
    const tier = account && state.release.tierOf(account, call.tier);
    const now = clock.now();
    const estimate = this.answerLengths.estimate(call.account, call.tier, call.maxTokens);
    const long = (call.passedTokens ?? 0) > overrunFactor * estimate;
    const urgency = urgencyOf(tier) + (long ? overrunPenalty : 0);
    this.arrivals.recordArrival(urgency);
    const ticket: QueuedRequest = {
      key,
      call,
      entry,
      urgency,
      firstTokenMs: tier?.firstTokenMs ?? call.budgetMs,
      tokenGapMs: tier?.tokenGapMs ?? Infinity,
      arrivedAt: now,
      deadline: now + call.budgetMs,
      expectedTokens: estimate,
      startTag: this.queue.assignStartTag(call.account, urgency, estimate, account?.weight ?? 1),
      polledAt: now,
      reply: undefined,
    };
    this.queue.add(ticket);
    return ticket;
  }

  /** Holds a call until its ticket is granted, or for a while. */
  private async holdCall(ticket: QueuedRequest, pump: boolean): Promise<AcquireReply> {
    const stop = new AbortController();
    const answered = new Promise<AcquireReply>((resolve) => {
      ticket.reply = resolve;
    });
    ticket.polledAt = this.o.clock.now();
    if (pump) this.schedule();
    const late = this.o.clock
      .sleep(maxHoldMs, stop.signal)
      .then((): AcquireReply => ({ kind: 'queued', againMs }));
    const reply = await Promise.race([answered, late]);
    stop.abort();
    ticket.reply = undefined;
    return reply;
  }

  /** Gives grants to waiting tickets, first to be served first. */
  private schedule(): void {
    if (!this.o.canGrant()) return;
    const now = this.o.clock.now();
    this.removeOrphanedGrants();
    this.hasUnpolledRequests = false;
    let missed = 0;
    const claims = new Map<ReplicaLoad, number>();
    for (const ticket of [...this.queue.inOrder(now)]) {
      if (missed >= maxBlockedRequests) return;
      if (!ticket.reply) {
        this.hasUnpolledRequests = true;
        this.expire(ticket, now);
        continue;
      }
      const candidates = this.findCandidates(ticket.call);
      const reserve = this.arrivals.moreUrgentWithin(
        effectiveUrgency(ticket, now),
        preemptionDelayMs,
      );
      const { call, tokenGapMs: gapMs, expectedTokens: estimate } = ticket;
      const wish = { call, tokenGapMs: gapMs, expectedTokens: estimate, reservedSlots: reserve };
      const placement = findPlacement(wish, candidates, now);
      const better =
        placement && findFasterReplica(ticket.urgency, wish, placement, candidates, claims, now);
      if (better) {
        claims.set(better.load, (claims.get(better.load) ?? 0) + 1);
        if (better.victim) void this.preempt(better.victim);
        continue;
      }
      if (placement) {
        this.grant(ticket, placement, now);
        continue;
      }
      this.preemptFor(ticket, candidates, missed, now);
      missed += 1;
    }
  }

  /** Drops the grants of entries that are gone. */
  private removeOrphanedGrants(): void {
    const { nodes, view } = this.o.state;
    if (view === this.lastCheckedView) return;
    this.lastCheckedView = view;
    for (const { held } of [...this.grants.all]) {
      if (nodes.get(held.entry)?.incarnation !== held.incarnation) this.removeGrant(held.grant.id);
    }
  }

  private expire(ticket: QueuedRequest, now: Millis): void {
    if (now - ticket.polledAt > pollExpiryMs) this.queue.remove(ticket.key);
  }

  private grant(ticket: QueuedRequest, { candidate, firstTokenMs }: Placement, now: Millis): void {
    const { load } = candidate;
    const prefill = prefillTokensFor(candidate, ticket.call, now);
    load.prefixCache.recordPrompt(ticket.call.prefix, now);
    this.lastGrantNumber += 1;
    const grant: Grant = {
      id: GrantId(`${this.o.self}-${this.o.state.view}-${this.lastGrantNumber}`),
      replica: candidate.replica.id,
      owner: this.o.self,
      epoch: this.o.state.view,
      startWithinMs,
      priority: ticket.urgency,
      stages: candidate.stages,
    };
    this.grants.add(load, {
      grant,
      key: ticket.key,
      entry: ticket.entry,
      call: ticket.call,
      urgency: ticket.urgency,
      tokenGapMs: ticket.tokenGapMs,
      grantedAt: now,
      lastSentAt: now,
      expectedTokens: ticket.expectedTokens,
      runningAtStart: load.running + 1,
      prefillTokensAtStart: prefill,
      prefillEndsAt: now + firstTokenMs,
      isPreempting: false,
      notPreemptedUntil: now,
      incarnation: this.o.state.nodes.get(ticket.entry)?.incarnation,
    });
    this.queue.remove(ticket.key);
    this.queue.advanceVirtualTime(ticket);
    const room = predictRoom(
      this.queue,
      ticket,
      this.findCandidates(ticket.call),
      this.o.clock.now(),
    );
    ticket.reply?.({ kind: 'granted', grant, room });
  }

  /** Takes a grant back for a ticket, unless a slot is on its way already. */
  private preemptFor(
    ticket: QueuedRequest,
    candidates: readonly Candidate[],
    before: number,
    now: Millis,
  ): void {
    const coming = sum(candidates, (c) => c.load.freeSlotsAfterPreemption - c.load.freeSlots);
    if (coming > before) return;
    const victim = findVictim(ticket.urgency, candidates, now);
    if (victim) void this.preempt(victim);
  }

  private async preempt({ held }: Victim): Promise<void> {
    held.isPreempting = true;
    const options = { timeoutMs: preemptTimeoutMs };
    const call = { grant: held.grant.id };
    const reply = await this.o.transport.call(held.entry, 'preempt', call, options);
    if (reply.isOk() && !reply.value.known) {
      this.removeGrant(held.grant.id);
      this.schedule();
    }
    if (reply.isErr()) {
      held.isPreempting = false;
      held.notPreemptedUntil = this.o.clock.now() + preemptRetryMs;
    }
  }

  private release(call: ReleaseCall): ReleaseReply {
    const booked = this.removeGrant(call.grant);
    if (booked) this.recordOutcome(booked, call);
    this.schedule();
    return { known: booked !== undefined };
  }

  private removeGrant(id: GrantId): GrantRecord | undefined {
    const booked = this.grants.remove(id);
    if (booked) this.candidates.prune();
    return booked;
  }

  private recordOutcome({ load, held }: GrantRecord, call: ReleaseCall): void {
    if (call.end === 'failed') load.recordFailure(this.o.clock.now());
    if (call.end === 'complete') load.recordSuccess();
    if (call.firstTokenMs === undefined) return;
    load.latency.observeFirstToken(
      held.runningAtStart,
      held.prefillTokensAtStart,
      call.firstTokenMs,
    );
    if (call.end !== 'complete') return;
    const ranMs = this.o.clock.now() - held.grantedAt - call.firstTokenMs;
    this.answerLengths.observe(held.call.account, held.call.tier, call.tokens);
    if (call.tokens > 1) load.latency.observeStep(load.running + 1, ranMs / (call.tokens - 1));
  }
}

/** Urgency of a tier; work of an unknown tier goes last. */
function urgencyOf(tier: Tier | undefined): number {
  return tier?.urgency ?? Number.MAX_SAFE_INTEGER;
}

function refusal(reason: OwnerRefusalReason, retryAfterMs: Millis): AcquireReply {
  return { kind: 'refused', reason, retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs) };
}
