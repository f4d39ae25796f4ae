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
import { placementOf, unreadWith } from './admission.js';
import type { Placement } from './admission.js';
import { auditGrants } from './audit.js';
import { Candidates } from './candidates.js';
import type { Candidate } from './candidates.js';
import { Forecasts } from './forecast.js';
import { betterPlace } from './displacement.js';
import { GrantBook } from './grantbook.js';
import type { Booked } from './grantbook.js';
import { Lengths } from './lengths.js';
import { outlivedPenalty, victimFor } from './preemption.js';
import type { Victim } from './preemption.js';
import { FairQueue, rank } from './queue.js';
import type { Ticket } from './queue.js';
import { latenessOf, preemptLeadMs, roomOf, sum, waitOf } from './wait.js';
import { outlivedFactor } from './replica.js';
import type { ReplicaLoad } from './replica.js';

/** A grant that was not used for this long has lapsed, in milliseconds. */
const startWithinMs: Millis = 1000;

/** How long a call is held for a slot to come free, in milliseconds. */
const holdMs: Millis = 250;

/** Pause before a queued entry asks again, in milliseconds. */
const againMs: Millis = 5;

/** A ticket that was not asked for during this time lapses, in milliseconds. */
const ticketLapseMs: Millis = 1000;

/** Tickets that are passed over before a look at the queue ends. */
const scanLimit = 6;

/** How long an entry may take to answer a preemption, in milliseconds. */
const preemptTimeoutMs: Millis = 500;

/** Pause before a grant whose entry did not answer is asked for again, in milliseconds. */
const spareMs: Millis = 1000;

/** Least wait that a refused caller is told, in milliseconds. */
const leastRetryAfterMs: Millis = 100;

/** Wait from which a caller that has other owners left is sent on, in milliseconds. */
const spillWaitMs: Millis = 50;

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

type RefusedFor = 'no-lease' | 'no-replica' | 'promise-unreachable';

/** The owner's side of admission for the replicas of one node. */
export class Owner {
  private readonly candidates: Candidates;
  private readonly queue = FairQueue.create();
  private readonly lengths = Lengths.create();
  private readonly forecasts: Forecasts;
  private readonly book = GrantBook.create();
  private seq = 0;
  private checkedView = -1;
  /** Whether a ticket was passed over because its entry was not asking. */
  private skipped = false;

  private constructor(private readonly o: OwnerOptions) {
    this.candidates = Candidates.create(o);
    this.forecasts = Forecasts.create(o.clock);
  }

  static create(options: OwnerOptions): Owner {
    const owner = new Owner(options);
    options.transport.serve('acquire', (from, call) => owner.acquire(from, call));
    options.transport.serve('release', async (_, call) => owner.release(call));
    return owner;
  }

  /** Grants in use. */
  get grantsInUse(): number {
    return this.book.size;
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Requests of each tier that wait and that run, by tier. */
  queues(): readonly TierQueue[] {
    const running = [...this.book.all].map(({ held }) => held.call.tier);
    const waiting = this.queue.tickets.map((t) => t.call.tier);
    const count = (list: readonly TierId[], tier: TierId) => list.filter((t) => t === tier).length;
    return [...new Set([...running, ...waiting])]
      .sort()
      .map((tier) => ({ tier, waiting: count(waiting, tier), running: count(running, tier) }));
  }

  /** Grants in use on each replica with any. */
  runningByReplica(): ReadonlyMap<ReplicaId, number> {
    return new Map(
      [...this.candidates.known].filter((l) => l.running > 0).map((l) => [l.id, l.running]),
    );
  }

  /** Task: drops grants that their entries do not hold, until `signal` aborts. */
  audit(signal: AbortSignal): Promise<void> {
    const { clock, transport } = this.o;
    const drop = (grant: GrantId) => {
      this.remove(grant);
      this.pump();
    };
    const { book } = this;
    return auditGrants({ clock, transport, book, olderThanMs: startWithinMs, drop }, signal);
  }

  private async acquire(from: NodeId, call: AcquireCall): Promise<AcquireReply> {
    if (!this.o.canGrant()) return refused('no-lease', leastRetryAfterMs);
    const key = `${call.request}|${call.attempt}`;
    const again = this.book.tellAgain(key, this.o.clock.now());
    if (again) return { kind: 'granted', grant: again };
    const candidates = this.candidatesOf(call);
    if (candidates.length === 0) return refused('no-replica', leastRetryAfterMs);
    const known = this.queue.get(key);
    const ticket = known ?? this.ticketFor(key, from, call);
    const lateMs = latenessOf(this.queue, ticket, candidates, this.o.clock.now());
    if (lateMs > 0) {
      this.queue.remove(key);
      const room = roomOf(this.queue, ticket, candidates, this.o.clock.now());
      return { ...refused('promise-unreachable', lateMs), room };
    }
    if (
      call.othersLeft &&
      waitOf(this.queue, ticket, candidates, this.o.clock.now()) > spillWaitMs
    ) {
      this.queue.remove(key);
      const room = roomOf(this.queue, ticket, candidates, this.o.clock.now());
      return { ...refused('promise-unreachable', leastRetryAfterMs), room };
    }
    return this.hold(ticket, known === undefined || this.skipped);
  }

  /** Replicas for a call; those that rest after a failure only where there are no others. */
  private candidatesOf(call: AcquireCall): readonly Candidate[] {
    const all = this.candidates.of(call);
    const fit = all.filter((c) => !c.load.rests(this.o.clock.now()));
    return fit.length > 0 ? fit : all;
  }

  private ticketFor(key: string, entry: NodeId, call: AcquireCall): Ticket {
    const { clock, state } = this.o;
    const account = state.release.clientAccounts.get(call.account);
    const tier = account && state.release.tierOf(account, call.tier);
    const now = clock.now();
    const estimate = this.lengths.estimate(call.account, call.tier, call.maxTokens);
    const long = (call.passedTokens ?? 0) > outlivedFactor * estimate;
    const urgency = urgencyOf(tier) + (long ? outlivedPenalty : 0);
    this.forecasts.arrived(urgency);
    const ticket: Ticket = {
      key,
      call,
      entry,
      urgency,
      firstTokenMs: tier?.firstTokenMs ?? call.budgetMs,
      gapMs: tier?.tokenGapMs ?? Infinity,
      arrivedAt: now,
      dueAt: now + call.budgetMs,
      estimate,
      tag: this.queue.tagOf(call.account, urgency, estimate, account?.weight ?? 1),
      polledAt: now,
      answer: undefined,
    };
    this.queue.add(ticket);
    return ticket;
  }

  /** Holds a call until its ticket is granted, or for a while. */
  private async hold(ticket: Ticket, pump: boolean): Promise<AcquireReply> {
    const stop = new AbortController();
    const answered = new Promise<AcquireReply>((resolve) => {
      ticket.answer = resolve;
    });
    ticket.polledAt = this.o.clock.now();
    if (pump) this.pump();
    const late = this.o.clock
      .sleep(holdMs, stop.signal)
      .then((): AcquireReply => ({ kind: 'queued', againMs }));
    const reply = await Promise.race([answered, late]);
    stop.abort();
    ticket.answer = undefined;
    return reply;
  }

  /** Gives grants to waiting tickets, first to be served first. */
  private pump(): void {
    if (!this.o.canGrant()) return;
    const now = this.o.clock.now();
    this.lapseOrphans();
    this.skipped = false;
    let missed = 0;
    const claims = new Map<ReplicaLoad, number>();
    for (const ticket of [...this.queue.ordered(now)]) {
      if (missed >= scanLimit) return;
      if (!ticket.answer) {
        this.skipped = true;
        this.lapse(ticket, now);
        continue;
      }
      const candidates = this.candidatesOf(ticket.call);
      const reserve = this.forecasts.before(rank(ticket, now), preemptLeadMs);
      const { call, gapMs, estimate } = ticket;
      const wish = { call, gapMs, estimate, reserve };
      const placement = placementOf(wish, candidates, now);
      const better =
        placement && betterPlace(ticket.urgency, wish, placement, candidates, claims, now);
      if (better) {
        claims.set(better.load, (claims.get(better.load) ?? 0) + 1);
        if (better.victim) void this.preempt(better.victim);
        continue;
      }
      if (placement) {
        this.grant(ticket, placement, now);
        continue;
      }
      this.makeRoom(ticket, candidates, missed, now);
      missed += 1;
    }
  }

  /** Drops the grants of entries that are gone. */
  private lapseOrphans(): void {
    const { nodes, view } = this.o.state;
    if (view === this.checkedView) return;
    this.checkedView = view;
    for (const { held } of [...this.book.all]) {
      if (nodes.get(held.entry)?.incarnation !== held.incarnation) this.remove(held.grant.id);
    }
  }

  private lapse(ticket: Ticket, now: Millis): void {
    if (now - ticket.polledAt > ticketLapseMs) this.queue.remove(ticket.key);
  }

  private grant(ticket: Ticket, { candidate, firstTokenMs }: Placement, now: Millis): void {
    const { load } = candidate;
    const prefill = unreadWith(candidate, ticket.call, now);
    load.prefixes.sent(ticket.call.prefix, now);
    this.seq += 1;
    const grant: Grant = {
      id: GrantId(`${this.o.self}-${this.o.state.view}-${this.seq}`),
      replica: candidate.replica.id,
      owner: this.o.self,
      epoch: this.o.state.view,
      startWithinMs,
      priority: ticket.urgency,
      stages: candidate.stages,
    };
    this.book.add(load, {
      grant,
      key: ticket.key,
      entry: ticket.entry,
      call: ticket.call,
      urgency: ticket.urgency,
      gapMs: ticket.gapMs,
      givenAt: now,
      toldAt: now,
      estimate: ticket.estimate,
      runningAtStart: load.running + 1,
      prefillAtStart: prefill,
      readAt: now + firstTokenMs,
      preempting: false,
      sparedUntil: now,
      incarnation: this.o.state.nodes.get(ticket.entry)?.incarnation,
    });
    this.queue.remove(ticket.key);
    this.queue.advance(ticket);
    const room = roomOf(this.queue, ticket, this.candidatesOf(ticket.call), this.o.clock.now());
    ticket.answer?.({ kind: 'granted', grant, room });
  }

  /** Takes a grant back for a ticket, unless a slot is on its way already. */
  private makeRoom(
    ticket: Ticket,
    candidates: readonly Candidate[],
    before: number,
    now: Millis,
  ): void {
    const coming = sum(candidates, (c) => c.load.soonFree - c.load.free);
    if (coming > before) return;
    const victim = victimFor(ticket.urgency, candidates, now);
    if (victim) void this.preempt(victim);
  }

  private async preempt({ held }: Victim): Promise<void> {
    held.preempting = true;
    const options = { timeoutMs: preemptTimeoutMs };
    const call = { grant: held.grant.id };
    const reply = await this.o.transport.call(held.entry, 'preempt', call, options);
    if (reply.isOk() && !reply.value.known) {
      this.remove(held.grant.id);
      this.pump();
    }
    if (reply.isErr()) {
      held.preempting = false;
      held.sparedUntil = this.o.clock.now() + spareMs;
    }
  }

  private release(call: ReleaseCall): ReleaseReply {
    const booked = this.remove(call.grant);
    if (booked) this.learn(booked, call);
    this.pump();
    return { known: booked !== undefined };
  }

  private remove(id: GrantId): Booked | undefined {
    const booked = this.book.remove(id);
    if (booked) this.candidates.prune();
    return booked;
  }

  private learn({ load, held }: Booked, call: ReleaseCall): void {
    if (call.end === 'failed') load.failed(this.o.clock.now());
    if (call.end === 'complete') load.succeeded();
    if (call.firstTokenMs === undefined) return;
    load.model.observeFirst(held.runningAtStart, held.prefillAtStart, call.firstTokenMs);
    if (call.end !== 'complete') return;
    const ranMs = this.o.clock.now() - held.givenAt - call.firstTokenMs;
    this.lengths.observe(held.call.account, held.call.tier, call.tokens);
    if (call.tokens > 1) load.model.observe(load.running + 1, ranMs / (call.tokens - 1));
  }
}

/** Urgency of a tier; work of an unknown tier goes last. */
function urgencyOf(tier: Tier | undefined): number {
  return tier?.urgency ?? Number.MAX_SAFE_INTEGER;
}

function refused(reason: RefusedFor, retryAfterMs: Millis): AcquireReply {
  return { kind: 'refused', reason, retryAfterMs: Math.max(leastRetryAfterMs, retryAfterMs) };
}
