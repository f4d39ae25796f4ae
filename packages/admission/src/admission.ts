/** Decides whether the requests for one service are admitted by one entry. */

import type { Millis } from '@tanagercart/base';
import { fullMemoryShare } from '@tanagercart/layers';
import { Accounts } from './accounts.js';
import { ceilingOf, ceilingStep, highestCeiling, openShare } from './ceiling.js';
import { Demand, MovingRate, addRates, priorityIndex, totalOf } from './demand.js';
import { ReturnSchedule } from './returns.js';
import type { Amount } from './room.js';
import { demandPartOf } from './share.js';

/** What an entry knows of a service and of the other entries. */
export interface Conditions {
  readonly room: Amount;
  /** What the requests of the other entries hold; undefined if nothing recent is known. */
  readonly peerUse: Amount | undefined;
  /** Tokens per second that the other entries are asked for; undefined if it is not known. */
  readonly peerDemand: readonly number[] | undefined;
  /** Entries that take requests, with this one, and those that report their demand. */
  readonly entries: number;
  readonly reporters: number;
}

/** What admission depends on of a request. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly account: string;
  readonly weight: number;
  readonly tokens: number;
  /** Whether its caller has a part of the response and brings the stream back. */
  readonly isResumed: boolean;
  /** Time that the caller has left. */
  readonly remainingMs: Millis;
}

/** Why a request is admitted. */
export type AdmittedBy =
  /** No room is known for the service. */
  | 'unknown'
  /** There is room for all. */
  | 'open'
  /** Room is short, and there is some at its priority. */
  | 'room'
  /** This entry is below its share. */
  | 'share'
  /** The first request of its account. */
  | 'floor';

/** Why a request is refused: no room at its priority, or for its account. */
export type RefusedBy = 'room' | 'account';

/** The figures of a decision, for logs and metrics. Parts are of the room. */
export interface Figures {
  readonly roomTokens: number;
  /** Part that is in use by all entries, as far as is known, with the request. */
  readonly usedPart: number;
  /** Part that this entry uses with the request, and may use. */
  readonly ownPart: number;
  readonly sharePart: number;
  readonly ceiling: number;
}

export type Decision =
  | {
      readonly kind: 'admitted';
      readonly by: AdmittedBy;
      readonly figures: Figures | undefined;
      /** Ends the request; further calls do nothing. */
      readonly end: (now: Millis) => void;
    }
  | {
      readonly kind: 'refused';
      readonly by: RefusedBy;
      readonly figures: Figures;
      readonly retryAfterMs: Millis;
      /** Whether room was booked for its return. */
      readonly isBooked: boolean;
    };

/** Callers wait no longer than this part of the time that they have left. */
const maxReturnPart = 1 / 3;

/**
 * Part of the room that becomes free for a priority that refused callers are told of; the rest goes
 * to requests that come for the first time. With all of it, callers are refused more often.
 */
const returnPart = 0.5;

/** For so long after its first request, an entry has at least an even share. */
const newMs: Millis = 2000;

/** Accounts are held to their fair shares for so long after their priority was refused. */
const contendedMs: Millis = 1000;

/**
 * Use dips by this part while room is short, as entries learn late that it became free. In the dips,
 * accounts are held to their fair shares too, or the largest would fill them.
 */
const dipPart = 0.05;

/** Assumed time for which a request is in progress until some have ended. */
const defaultHoldMs: Millis = 2000;
const maxHoldMs: Millis = 30_000;

/** Admission to one service at one entry. */
export class Admission {
  private readonly demand = Demand.create();
  private readonly accounts: Accounts[] = [];
  private readonly returns = ReturnSchedule.create();
  private readonly ended = MovingRate.create();
  private heldTokens = 0;
  private heldRequests = 0;
  /** When a request was last refused, by priority. */
  private readonly refusedAt: Millis[] = [];
  private startedAt: Millis | undefined;

  static create(): Admission {
    return new Admission();
  }

  /** What the requests in progress of this entry hold. */
  get held(): Amount {
    return { tokens: this.heldTokens, requests: this.heldRequests };
  }

  /** Tokens per second that this entry is asked for, by priority. */
  demandPerSecond(now: Millis): readonly number[] {
    return this.demand.perSecond(now);
  }

  /** Admits or refuses a request; `spread` is a random number from 0 to 1. */
  decide(request: AdmissionRequest, known: Conditions, spread: number, now: Millis): Decision {
    const priority = priorityIndex(request.priority);
    this.startedAt ??= now;
    this.demand.record(priority, request.tokens, now);
    this.accountsOf(priority).record(request.account, request.weight, request.tokens, now);
    if (known.room.tokens <= 0) return this.admit(request, priority, 'unknown', undefined, now);
    const figures = this.figuresOf(request, priority, known, now);
    const by = this.check(request, priority, known, figures, now);
    if (by.kind === 'admitted') return this.admit(request, priority, by.by, figures, now);
    if (figures.usedPart > openShare) this.refusedAt[priority] = now;
    return this.refuse(request, priority, by.by, figures, spread, now);
  }

  private check(
    request: AdmissionRequest,
    priority: number,
    known: Conditions,
    figures: Figures,
    now: Millis,
  ):
    | { readonly kind: 'admitted'; readonly by: AdmittedBy }
    | { readonly kind: 'refused'; readonly by: RefusedBy } {
    const { usedPart, ownPart, sharePart, ceiling } = figures;
    const isContended = now - (this.refusedAt[priority] ?? -Infinity) < contendedMs;
    if (usedPart <= openShare - (isContended ? dipPart : 0)) {
      return { kind: 'admitted', by: 'open' };
    }
    const accounts = this.accountsOf(priority);
    const heldByAccount = accounts.heldBy(request.account);
    const isFirst = heldByAccount <= 0;
    if (isContended && !isFirst && !request.isResumed) {
      const room = sharePart * known.room.tokens - this.heldAbove(priority);
      const fair = accounts.shareOf(request.account, request.tokens, room, this.holdMs(now), now);
      if (heldByAccount + request.tokens > fair) return { kind: 'refused', by: 'account' };
    }
    if (usedPart <= openShare) return { kind: 'admitted', by: 'open' };
    if (usedPart <= ceiling) return { kind: 'admitted', by: 'room' };
    if (ownPart <= sharePart) return { kind: 'admitted', by: 'share' };
    const floorPart = (sharePart * Math.min(fullMemoryShare, ceiling + ceilingStep)) / ceiling;
    if (isFirst && ownPart <= floorPart) return { kind: 'admitted', by: 'floor' };
    // An entry that holds nothing can always serve one request.
    if (this.heldRequests === 0) return { kind: 'admitted', by: 'floor' };
    return { kind: 'refused', by: 'room' };
  }

  private figuresOf(
    { tokens, isResumed }: AdmissionRequest,
    priority: number,
    known: Conditions,
    now: Millis,
  ): Figures {
    const { room, peerUse } = known;
    const demand = addRates(this.demand.perSecond(now), known.peerDemand ?? []);
    const resumed = isResumed ? ceilingStep / 2 : 0;
    const ceiling = Math.min(fullMemoryShare, ceilingOf(priority, demand) + resumed);
    const part = this.partOf(known, now);
    const kept = this.returns.keptFor(priority, now);
    const own = { tokens: this.heldTokens + tokens + kept, requests: this.heldRequests + 1 };
    const full = highestCeiling(demand);
    const ownPart = partUsed(own, room, full);
    // Without recent reports, the others are taken to use their shares as this entry does its own.
    const usedPart = peerUse ? partUsed(sumOf(own, peerUse), room, full) : ownPart / part;
    return { roomTokens: room.tokens, usedPart, ownPart, sharePart: part * ceiling, ceiling };
  }

  private partOf(known: Conditions, now: Millis): number {
    const { peerDemand, entries, reporters } = known;
    return demandPartOf({
      own: totalOf(this.demand.perSecond(now)),
      peers: peerDemand && totalOf(peerDemand),
      entries,
      reporters,
      isNew: now - (this.startedAt ?? now) < newMs,
    });
  }

  private admit(
    { account, tokens }: AdmissionRequest,
    priority: number,
    by: AdmittedBy,
    figures: Figures | undefined,
    now: Millis,
  ): Decision {
    const accounts = this.accountsOf(priority);
    this.returns.take(priority, tokens, now);
    this.heldTokens += tokens;
    this.heldRequests += 1;
    accounts.hold(account, tokens);
    let isHeld = true;
    const end = (at: Millis) => {
      if (!isHeld) return;
      isHeld = false;
      this.heldTokens -= tokens;
      this.heldRequests -= 1;
      accounts.hold(account, -tokens);
      this.ended.record(tokens, at);
    };
    return { kind: 'admitted', by, figures, end };
  }

  private refuse(
    { tokens, remainingMs }: AdmissionRequest,
    priority: number,
    by: RefusedBy,
    figures: Figures,
    spread: number,
    now: Millis,
  ): Decision {
    const urgent = totalOf(this.demand.perSecond(now).slice(0, priority));
    const tokensPerSecond = Math.max(0, this.ended.perSecond(now) - urgent) * returnPart;
    const latestMs = remainingMs * maxReturnPart;
    const refused = { priority, tokens, tokensPerSecond, latestMs, spread };
    const { afterMs, isBooked } = this.returns.book(refused, now);
    return { kind: 'refused', by, figures, retryAfterMs: afterMs, isBooked };
  }

  /** Time for which a request is in progress, by what is held and the rate at which it ends. */
  private holdMs(now: Millis): Millis {
    const endedPerSecond = this.ended.perSecond(now);
    if (endedPerSecond <= 0) return defaultHoldMs;
    return Math.min(maxHoldMs, (this.heldTokens * 1000) / endedPerSecond);
  }

  /** Tokens of the requests in progress that are more urgent. */
  private heldAbove(priority: number): number {
    return this.accounts.slice(0, priority).reduce((n, a) => n + a.held, 0);
  }

  private accountsOf(priority: number): Accounts {
    while (this.accounts.length <= priority) this.accounts.push(Accounts.create());
    return this.accounts[priority]!;
  }
}

/**
 * The part of the room that is used. The slots of first stages may all be used, so that all of them
 * count as the highest ceiling of memory.
 */
function partUsed(use: Amount, room: Amount, full: number): number {
  const ofSlots = room.requests > 0 ? (use.requests / room.requests) * full : 0;
  return Math.max(use.tokens / room.tokens, ofSlots);
}

function sumOf(a: Amount, b: Amount): Amount {
  return { tokens: a.tokens + b.tokens, requests: a.requests + b.requests };
}
