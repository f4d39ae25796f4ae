/** A model of entries that share the room of one service, and of callers that come back. */

import type { Millis, Random } from '@tanagercart/base';
import { SeededRandom } from '@tanagercart/base';
import { Admission, addRates } from '../src/index.js';
import type { Amount, Conditions } from '../src/index.js';

/** What callers ask for. */
export interface Load {
  readonly seed: number;
  readonly untilMs: Millis;
  /** Requests per second by priority at a time. */
  readonly ratesAt: (ms: Millis) => readonly number[];
  /** The account of a request, drawn with a random number from 0 to 1. */
  readonly accountOf: (drawn: number) => string;
  readonly room: Amount;
  /** Whether entries receive the reports of the others; always by default. */
  readonly reportsAt?: (ms: Millis) => boolean;
}

/** One request of a caller, over all times that it came. */
export interface Asked {
  readonly at: Millis;
  readonly priority: number;
  readonly account: string;
  readonly tokens: number;
  readonly holdMs: Millis;
  /** Refusals, and when it was last refused and told to come back. */
  refusals: number;
  admittedAt: Millis | undefined;
  /** Longest return time as a part of the time that was left. */
  longestReturn: number;
}

/** What came of a load. */
export interface Played {
  readonly asked: readonly Asked[];
  /** Part of the room that was held, for each step. */
  readonly used: readonly { readonly at: Millis; readonly part: number }[];
  /** Parts of the room in use when requests were refused. */
  readonly usedAtRefusal: readonly { readonly at: Millis; readonly part: number }[];
}

interface Entry {
  readonly admission: Admission;
  /** What it last reported. */
  held: Amount;
  demand: readonly number[];
  /** What it last heard of all, and its own part of that. */
  heard: Conditions;
}

const entryCount = 8;
const stepMs: Millis = 10;
const reportMs: Millis = 250;
const callerMs: Millis = 9000;
const nothing: Amount = { tokens: 0, requests: 0 };

/** Requests in progress and callers on their way, by the step in which they are due. */
type Due = Map<number, (() => void)[]>;

/** Plays a load against entries that each admit by what they know. */
export function play(load: Load): Played {
  const random = SeededRandom.create(load.seed);
  const unknown = { room: load.room, entries: entryCount, reporters: entryCount };
  const none = { ...unknown, peerUse: undefined, peerDemand: undefined };
  const entries = Array.from({ length: entryCount }, (): Entry => ({
    admission: Admission.create(),
    held: nothing,
    demand: [],
    heard: none,
  }));
  const due: Due = new Map();
  const asked: Asked[] = [];
  const used: { at: Millis; part: number }[] = [];
  const usedAtRefusal: { at: Millis; part: number }[] = [];
  const part = () => sum(entries, (e) => e.admission.held.tokens) / load.room.tokens;
  const come = (request: Asked, now: Millis) => {
    const { priority, account, tokens } = request;
    const entry = entries[Math.floor(random.next() * entryCount)]!;
    const remainingMs = request.at + callerMs - now;
    const call = { priority, account, weight: 1, tokens, isResumed: false, remainingMs };
    const decision = entry.admission.decide(call, entry.heard, random.next(), now);
    if (decision.kind === 'admitted') {
      request.admittedAt = now;
      const endsAt = now + request.holdMs;
      schedule(due, endsAt, () => decision.end(endsAt));
      return;
    }
    usedAtRefusal.push({ at: now, part: part() });
    request.refusals += 1;
    request.longestReturn = Math.max(request.longestReturn, decision.retryAfterMs / remainingMs);
    const backAt = now + decision.retryAfterMs;
    const isInTime = backAt < load.untilMs && request.at + callerMs - backAt > 500;
    if (isInTime) schedule(due, backAt, () => come(request, backAt));
  };
  for (let now = 0; now < load.untilMs; now += stepMs) {
    const index = now / stepMs;
    for (const call of due.get(index) ?? []) call();
    due.delete(index);
    exchange(load, entries, none, now);
    load.ratesAt(now).forEach((perSecond, priority) => {
      for (let n = arrivals(random, (perSecond * stepMs) / 1000); n > 0; n -= 1) {
        const request = requestOf(load, random, priority, now);
        asked.push(request);
        come(request, now);
      }
    });
    used.push({ at: now, part: part() });
  }
  return { asked, used, usedAtRefusal };
}

/** The entries whose turn it is report to the leader, and hear what the others reported. */
function exchange(load: Load, entries: readonly Entry[], none: Conditions, now: Millis): void {
  entries.forEach((entry, i) => {
    if (now % reportMs !== Math.floor((i * reportMs) / entryCount / stepMs) * stepMs) return;
    if (!(load.reportsAt?.(now) ?? true)) {
      entry.heard = none;
      return;
    }
    entry.held = entry.admission.held;
    entry.demand = entry.admission.demandPerSecond(now);
    const others = entries.filter((e) => e !== entry);
    const all = entries.reduce<readonly number[]>((rates, e) => addRates(rates, e.demand), []);
    const peerUse = {
      tokens: sum(others, (e) => e.held.tokens),
      requests: sum(others, (e) => e.held.requests),
    };
    const peerDemand = all.map((rate, p) => Math.max(0, rate - (entry.demand[p] ?? 0)));
    entry.heard = { ...none, peerUse, peerDemand };
  });
}

function requestOf(load: Load, random: Random, priority: number, at: Millis): Asked {
  return {
    at,
    priority,
    account: load.accountOf(random.next()),
    tokens: 400 + Math.round(random.next() ** 2 * 1800),
    holdMs: 1000 + Math.round(random.next() * 200) * stepMs,
    refusals: 0,
    admittedAt: undefined,
    longestReturn: 0,
  };
}

function schedule(due: Due, at: Millis, call: () => void): void {
  const index = Math.ceil(at / stepMs);
  const calls = due.get(index);
  if (calls) calls.push(call);
  else due.set(index, [call]);
}

/** A Poisson-distributed number of arrivals with the given mean. */
function arrivals(random: Random, mean: number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random.next(); product > limit; product *= random.next()) count += 1;
  return count;
}

/** Sum of `amountOf` over all items. */
export function sum<T>(items: readonly T[], amountOf: (item: T) => number): number {
  return items.reduce((n, item) => n + amountOf(item), 0);
}
