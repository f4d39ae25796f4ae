/**
 * Admission control at an entry node. Requests are admitted from the quota that the owners of
 * their accounts have granted to this node; the limiter asks the owner when that is used up, and
 * returns what has become idle.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AccountId, Clock, Millis, NodeId, TierId } from '@tanagercart/base';
import type { LimitCall, LimitKind, LimitReply, Transport } from '@tanagercart/protocol';
import { Allocation, noAmounts } from './allocation.js';
import { Fallback, recoveringFloor, unreachableFloor } from './fallback.js';
import type { RateFloor } from './fallback.js';
import type { Quota } from './quota.js';

/** Timeout of a call to an owner; a slower owner counts as unreachable. */
const callTimeoutMs: Millis = 250;

/** An allocation that admitted no request for this long is returned to the owner. */
const idleMs: Millis = 150;

/** Pause between two sweeps for idle allocations. */
const sweepMs: Millis = 50;

/** Retry delay for a caller that is refused while the owner cannot grant quota. */
const fallbackRetryAfterMs: Millis = 500;

/** How long a request waits at most for a new owner to recover. */
const maxRecoveryWaitMs: Millis = 400;

/** Pause before a recovering owner is asked again. */
const recoveryPollMs: Millis = 50;

export interface LimiterOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  /** The owner of an account among the live nodes; undefined where none is live. */
  readonly ownerOf: (account: AccountId) => NodeId | undefined;
}

/** The limit for which a request was refused, and when it can be sent again. */
export interface LimitExceeded {
  readonly limit: LimitKind;
  readonly retryAfterMs: Millis;
}

/** A request to admit, and the quota that applies to it. */
export interface LimitedRequest {
  readonly account: AccountId;
  readonly tier: TierId;
  readonly quota: Quota;
  /** Estimated tokens of the answer. */
  readonly expectedTokens: number;
}

/** A request that was admitted. Settling it releases its permit; further calls have no effect. */
export interface Admission {
  /** Ends the request, which used `tokens` tokens. */
  settle(tokens: number): void;
}

/** The state of one account and tier on this node. */
interface AccountState {
  readonly account: AccountId;
  readonly tier: TierId;
  readonly allocation: Allocation;
  readonly fallback: Fallback;
  /** The exchange with the owner that is in progress, if any. */
  pending: Promise<LimitReply | undefined> | undefined;
}

/** Admits requests on one node, and holds its allocations for all accounts. */
export class Limiter {
  private readonly states = new Map<string, AccountState>();

  private constructor(private readonly o: LimiterOptions) {}

  static create(options: LimiterOptions): Limiter {
    return new Limiter(options);
  }

  /** The number of accounts and tiers that have state on this node. */
  get size(): number {
    return this.states.size;
  }

  /**
   * Admits a request, or returns the limit that it exceeds. While the owner is unreachable or
   * recovering, the fallback decides.
   */
  async admit(r: LimitedRequest): Promise<Result<Admission, LimitExceeded>> {
    const state = this.findOrCreate(r);
    const { allocation } = state;
    allocation.recordDemand(r.expectedTokens, this.o.clock.now());
    const waitUntil = this.o.clock.now() + maxRecoveryWaitMs;
    for (;;) {
      if (allocation.tryStart(r.expectedTokens, this.o.clock.now())) {
        state.fallback.recordAdmission(allocation.running, this.o.clock.now());
        return ok(this.createAdmission(state, r.expectedTokens));
      }
      // There is one exchange at a time for an account and tier. Requests that arrive meanwhile
      // wait for it, use what it granted, and ask again if that does not suffice.
      if (state.pending) {
        await state.pending;
        continue;
      }
      const reply = await this.requestMore(state, r.expectedTokens);
      if (!reply || reply.kind === 'recovering' || reply.kind === 'elsewhere') {
        const admitted = this.admitByFallback(state, r, reply ? recoveringFloor : unreachableFloor);
        const mayWait = reply !== undefined && this.o.clock.now() < waitUntil;
        if (admitted.isOk() || !mayWait) {
          return admitted;
        }
        await this.o.clock.sleep(recoveryPollMs);
        continue;
      }
      if (reply.kind === 'exhausted') {
        return err({ limit: reply.limit, retryAfterMs: reply.retryAfterMs });
      }
    }
  }

  /** Reports the permits in use to the owners after the set of live nodes changed. */
  onNodesChanged(): void {
    for (const state of this.states.values()) {
      if (state.allocation.held > 0 && !state.pending) {
        void this.returnUnused(state);
      }
    }
  }

  /** Task: returns idle allocations to their owners, and drops state without any use. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.o.clock.sleep(sweepMs, signal);
      for (const [key, state] of [...this.states]) {
        this.sweepState(key, state);
      }
    }
  }

  private sweepState(key: string, state: AccountState): void {
    const { allocation } = state;
    const idle = allocation.lastUsedAt + idleMs <= this.o.clock.now();
    if (!idle || state.pending) {
      return;
    }
    if (allocation.hasUnused) {
      void this.returnUnused(state);
    } else if (allocation.running === 0) {
      this.states.delete(key);
    }
  }

  private createAdmission(state: AccountState, expected: number): Admission {
    let settled = false;
    const settle = (tokens: number) => {
      if (settled) {
        return;
      }
      settled = true;
      state.allocation.finish(expected, tokens);
      if (state.allocation.scarce && !state.pending) {
        void this.returnUnused(state);
      }
    };
    return { settle };
  }

  /** Admits a request at the recent rate while the owner cannot grant quota. */
  private admitByFallback(
    state: AccountState,
    r: LimitedRequest,
    floor: RateFloor,
  ): Result<Admission, LimitExceeded> {
    const { allocation, fallback } = state;
    const now = this.o.clock.now();
    if (!fallback.tryAdmit(allocation.running, r.quota, now, floor)) {
      return err({ limit: 'requests', retryAfterMs: fallbackRetryAfterMs });
    }
    allocation.overdraw(r.expectedTokens, now);
    return ok(this.createAdmission(state, r.expectedTokens));
  }

  /** Asks the owner for what one request of `tokens` lacks, and for the demand expected soon. */
  private async requestMore(state: AccountState, tokens: number): Promise<LimitReply | undefined> {
    const least = state.allocation.missingAmounts(tokens);
    const want = state.allocation.desiredAmounts(tokens);
    const reply = await this.exchange(state, {
      account: state.account,
      tier: state.tier,
      held: state.allocation.held,
      least,
      want: { ...want, permits: least.permits },
      back: noAmounts,
    });
    return reply;
  }

  /** Returns unused amounts to the owner; keeps them if the call fails or reaches another node. */
  private async returnUnused(state: AccountState): Promise<void> {
    const heldBefore = state.allocation.held;
    const back = state.allocation.takeUnused();
    const { account, tier } = state;
    const call = { account, tier, held: heldBefore, least: noAmounts, want: noAmounts, back };
    const reply = await this.exchange(state, call);
    if (!reply || reply.kind === 'elsewhere') {
      state.allocation.add(back);
    }
  }

  private exchange(state: AccountState, call: LimitCall): Promise<LimitReply | undefined> {
    const run = this.callOwner(state, call).finally(() => {
      state.pending = undefined;
    });
    state.pending = run;
    return run;
  }

  /** Calls the owner and applies its reply; undefined if there is none or it does not answer. */
  private async callOwner(state: AccountState, call: LimitCall): Promise<LimitReply | undefined> {
    const owner = this.o.ownerOf(call.account);
    if (!owner) {
      return undefined;
    }
    const options = { timeoutMs: callTimeoutMs };
    const reply = await this.o.transport.call(owner, 'limit', call, options);
    if (reply.isErr()) {
      return undefined;
    }
    if (reply.value.kind === 'given') {
      state.allocation.add(reply.value.amounts);
      state.allocation.scarce = reply.value.scarce;
    }
    if (reply.value.kind === 'exhausted') {
      state.allocation.scarce = reply.value.limit === 'concurrency';
    }
    return reply.value;
  }

  private findOrCreate(r: LimitedRequest): AccountState {
    const key = `${r.account}\n${r.tier}`;
    const existing = this.states.get(key);
    if (existing) {
      return existing;
    }
    const now = this.o.clock.now();
    const { account, tier } = r;
    const allocation = Allocation.create(now);
    const created = {
      account,
      tier,
      allocation,
      fallback: Fallback.create(now),
      pending: undefined,
    };
    this.states.set(key, created);
    return created;
  }
}
