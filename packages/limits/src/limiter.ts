/** The entry's side of limits: admits requests from its share, and asks the keeper for more. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AccountId, Clock, Millis, NodeId, TierId } from '@tanagercart/base';
import type { LimitCall, LimitKind, LimitReply, Transport } from '@tanagercart/protocol';
import type { Quota } from './contract.js';
import { Fallback, awayPace, recoveringPace } from './fallback.js';
import type { LeastPace } from './fallback.js';
import { Share, nothing } from './share.js';

/** How long a keeper may take to answer, in milliseconds. */
const askTimeoutMs: Millis = 250;

/** Time after its last use at which an unused share is given back, in milliseconds. */
const spareMs: Millis = 150;

/** Pause between two looks for unused shares, in milliseconds. */
const sweepMs: Millis = 50;

/** Wait told to a caller while the keeper is away and the pace is used up, in milliseconds. */
const awayWaitMs: Millis = 500;

/** How long a request waits for a keeper that is new, in milliseconds. */
const recoveryWaitMs: Millis = 400;

/** Pause before a new keeper is asked again, in milliseconds. */
const recoveryPauseMs: Millis = 50;

/** What a limiter needs. */
export interface LimiterOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly ownerOf: (account: AccountId) => NodeId | undefined;
}

/** Why a request is over its limits. */
export interface LimitExceeded {
  readonly limit: LimitKind;
  readonly retryAfterMs: Millis;
}

/** Whose limits a request falls under. */
export interface LimitedRequest {
  readonly account: AccountId;
  readonly tier: TierId;
  readonly quota: Quota;
  /** Tokens that the answer is expected to have. */
  readonly expectedTokens: number;
}

/** A request that was admitted; it must be settled once. */
export interface Admission {
  /** Ends the request, which used `tokens` tokens. */
  settle(tokens: number): void;
}

interface Held {
  readonly account: AccountId;
  readonly tier: TierId;
  readonly share: Share;
  readonly fallback: Fallback;
  /** The exchange with the keeper that is open, if any. */
  asking: Promise<LimitReply | undefined> | undefined;
}

/** Holds one node's shares of all accounts. */
export class Limiter {
  private readonly table = new Map<string, Held>();

  private constructor(private readonly o: LimiterOptions) {}

  static create(options: LimiterOptions): Limiter {
    return new Limiter(options);
  }

  /** Accounts and tiers of which this node holds something. */
  get size(): number {
    return this.table.size;
  }

  /** Admits a request, or tells which limit is used up. */
  async admit(r: LimitedRequest): Promise<Result<Admission, LimitExceeded>> {
    const held = this.find(r);
    const { share } = held;
    share.demand(r.expectedTokens, this.o.clock.now());
    const waitUntil = this.o.clock.now() + recoveryWaitMs;
    for (;;) {
      if (share.use(r.expectedTokens, this.o.clock.now())) {
        held.fallback.admitted(share.running, this.o.clock.now());
        return ok(this.admission(held, r.expectedTokens));
      }
      // One exchange at a time: those who wait use what it brings, and ask again if that is short.
      if (held.asking) {
        await held.asking;
        continue;
      }
      const reply = await this.ask(held, r.expectedTokens);
      if (!reply || reply.kind === 'recovering' || reply.kind === 'elsewhere') {
        const alone = this.admitAlone(held, r, reply ? recoveringPace : awayPace);
        const mayWait = reply !== undefined && this.o.clock.now() < waitUntil;
        if (alone.isOk() || !mayWait) {
          return alone;
        }
        await this.o.clock.sleep(recoveryPauseMs);
        continue;
      }
      if (reply.kind === 'exhausted') {
        return err({ limit: reply.limit, retryAfterMs: reply.retryAfterMs });
      }
    }
  }

  /** Tells new keepers what this node holds, after the set of live nodes changed. */
  onNodesChanged(): void {
    for (const held of this.table.values()) {
      if (held.share.held > 0 && !held.asking) {
        void this.tell(held);
      }
    }
  }

  /** Task: gives back shares that are no longer used. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.o.clock.sleep(sweepMs, signal);
      for (const [name, held] of [...this.table]) {
        this.sweepOne(name, held);
      }
    }
  }

  private sweepOne(name: string, held: Held): void {
    const { share } = held;
    const idle = share.lastUse + spareMs <= this.o.clock.now();
    if (!idle || held.asking) {
      return;
    }
    if (share.hasSpare) {
      void this.tell(held);
    } else if (share.running === 0) {
      this.table.delete(name);
    }
  }

  private admission(held: Held, expected: number): Admission {
    let settled = false;
    const settle = (tokens: number) => {
      if (settled) {
        return;
      }
      settled = true;
      held.share.finish(expected, tokens);
      if (held.share.scarce && !held.asking) {
        void this.tell(held);
      }
    };
    return { settle };
  }

  /** Goes on at the recent pace while the keeper cannot be asked. */
  private admitAlone(
    held: Held,
    r: LimitedRequest,
    least: LeastPace,
  ): Result<Admission, LimitExceeded> {
    const { share, fallback } = held;
    const now = this.o.clock.now();
    if (!fallback.mayAdmit(share.running, r.quota, now, least)) {
      return err({ limit: 'requests', retryAfterMs: awayWaitMs });
    }
    share.overdraw(r.expectedTokens, now);
    return ok(this.admission(held, r.expectedTokens));
  }

  private async ask(held: Held, tokens: number): Promise<LimitReply | undefined> {
    const least = held.share.missing(tokens);
    const want = held.share.want(tokens);
    const reply = await this.exchange(held, {
      account: held.account,
      tier: held.tier,
      held: held.share.held,
      least,
      want: { ...want, permits: least.permits },
      back: nothing,
    });
    return reply;
  }

  /** Gives back what is spare; what could not be told is kept. */
  private async tell(held: Held): Promise<void> {
    const before = held.share.held;
    const back = held.share.takeSpare();
    const { account, tier } = held;
    const call = { account, tier, held: before, least: nothing, want: nothing, back };
    const reply = await this.exchange(held, call);
    if (!reply || reply.kind === 'elsewhere') {
      held.share.add(back);
    }
  }

  private exchange(held: Held, call: LimitCall): Promise<LimitReply | undefined> {
    const run = this.callKeeper(held, call).finally(() => {
      held.asking = undefined;
    });
    held.asking = run;
    return run;
  }

  private async callKeeper(held: Held, call: LimitCall): Promise<LimitReply | undefined> {
    const keeper = this.o.ownerOf(call.account);
    if (!keeper) {
      return undefined;
    }
    const options = { timeoutMs: askTimeoutMs };
    const reply = await this.o.transport.call(keeper, 'limit', call, options);
    if (reply.isErr()) {
      return undefined;
    }
    if (reply.value.kind === 'given') {
      held.share.add(reply.value.amounts);
      held.share.scarce = reply.value.scarce;
    }
    if (reply.value.kind === 'exhausted') {
      held.share.scarce = reply.value.limit === 'concurrency';
    }
    return reply.value;
  }

  private find(r: LimitedRequest): Held {
    const name = `${r.account}\n${r.tier}`;
    const known = this.table.get(name);
    if (known) {
      return known;
    }
    const now = this.o.clock.now();
    const { account, tier } = r;
    const share = Share.create(now);
    const fresh = { account, tier, share, fallback: Fallback.create(now), asking: undefined };
    this.table.set(name, fresh);
    return fresh;
  }
}
