/** What the accounts hold and ask for at one entry, for one priority of a service. */

import type { Millis } from '@tanagercart/base';
import { MovingRate } from './demand.js';
import { fairLevel } from './fairshares.js';

/** The level of fair shares is computed again after this time, as it takes all accounts. */
const levelMaxAgeMs: Millis = 100;

/** Accounts that hold nothing and ask for less than this are dropped, in tokens per second. */
const idleTokensPerSecond = 1;

/** Time after which idle accounts are looked for. */
const dropIntervalMs: Millis = 5000;

interface AccountUse {
  readonly asked: MovingRate;
  readonly weight: number;
  /** Tokens of its requests in progress. */
  held: number;
}

/** Tracks accounts, and tells the fair share of each while room is short. */
export class Accounts {
  private readonly uses = new Map<string, AccountUse>();
  private heldTokens = 0;
  private level = { at: -Infinity, value: Infinity };
  private droppedAt: Millis = -Infinity;

  static create(): Accounts {
    return new Accounts();
  }

  /** Number of accounts that are known. */
  get size(): number {
    return this.uses.size;
  }

  /** Tokens of all requests in progress. */
  get held(): number {
    return this.heldTokens;
  }

  /** Records a request, whether or not it is admitted. */
  record(account: string, weight: number, tokens: number, now: Millis): void {
    this.dropIdle(now);
    const known = this.uses.get(account);
    const use = known ?? { asked: MovingRate.create(), weight, held: 0 };
    use.asked.record(tokens, now);
    if (!known) this.uses.set(account, use);
  }

  /** Tokens of the requests of an account that are in progress. */
  heldBy(account: string): number {
    return this.uses.get(account)?.held ?? 0;
  }

  /** Adds to what a recorded account holds, or takes from it. */
  hold(account: string, tokens: number): void {
    const use = this.uses.get(account);
    if (!use) return;
    use.held += tokens;
    this.heldTokens += tokens;
  }

  /**
   * The most that an account may hold of `room`, where a request is in progress for `holdMs`: an
   * account wants what it asks for in that time. Infinite where none could have another request of
   * `tokens` within its share: what is left then goes to those that want more.
   */
  shareOf(account: string, tokens: number, room: number, holdMs: Millis, now: Millis): number {
    if (now - this.level.at > levelMaxAgeMs) {
      const wants = [...this.uses.values()].map(({ asked, weight, held }) => ({
        amount: Math.max(held, (asked.perSecond(now) * holdMs) / 1000),
        weight,
        held,
      }));
      const level = fairLevel(wants, room);
      const someCanTake = wants.some(
        (w) => w.held + tokens <= Math.min(w.amount, level * w.weight),
      );
      this.level = { at: now, value: someCanTake ? level : Infinity };
    }
    return this.level.value * (this.uses.get(account)?.weight ?? 1);
  }

  private dropIdle(now: Millis): void {
    if (now - this.droppedAt < dropIntervalMs) return;
    this.droppedAt = now;
    for (const [account, { asked, held }] of this.uses) {
      if (held <= 0 && asked.perSecond(now) < idleTokensPerSecond) this.uses.delete(account);
    }
  }
}
