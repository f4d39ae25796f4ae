/** The keeper's side of limits: one node keeps the whole of an account's limits. */

import type { AccountId, Clock, Millis, NodeId, TierId } from '@tanagercart/base';
import type { LimitCall, LimitReply, Transport } from '@tanagercart/protocol';
import type { Quota } from './contract.js';
import { Ledger } from './ledger.js';

/** How long a new keeper waits for what the nodes hold, in milliseconds. */
const recoveryMs: Millis = 300;

/** Pause between two looks for ledgers that may be forgotten, in milliseconds. */
const sweepMs: Millis = 5000;

/** What a keeper needs. */
export interface QuotaServerOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly transport: Transport;
  /** The node that keeps an account, by the live nodes. */
  readonly ownerOf: (account: AccountId) => NodeId | undefined;
  /** The limits in force; undefined where the account or tier does not stand. */
  readonly quotaOf: (account: AccountId, tier: TierId) => Quota | undefined;
  readonly isLive: (node: NodeId) => boolean;
  /** The keeper of an account before the last change of the live nodes. */
  readonly previousOwnerOf: (account: AccountId) => NodeId | undefined;
}

interface Kept {
  readonly ledger: Ledger;
  readonly recoversUntil: Millis;
}

/** Keeps the limits of the accounts that fall to this node. */
export class QuotaServer {
  private readonly kept = new Map<string, Kept>();
  /** Since when this node has kept limits under the present set of nodes. */
  private viewSince: Millis;

  private constructor(private readonly o: QuotaServerOptions) {
    this.viewSince = o.clock.now();
  }

  static create(options: QuotaServerOptions): QuotaServer {
    const keeper = new QuotaServer(options);
    options.transport.serve('limit', async (from, call) => keeper.onLimit(from, call));
    return keeper;
  }

  /** Accounts and tiers with something in use. */
  get size(): number {
    return this.kept.size;
  }

  /** Tells the keeper that the set of live nodes changed. */
  onNodesChanged(): void {
    this.viewSince = this.o.clock.now();
    for (const [name, { ledger }] of [...this.kept]) {
      ledger.keepOnly(this.o.isLive);
      if (this.o.ownerOf(accountOf(name)) !== this.o.self) {
        this.kept.delete(name);
      }
    }
  }

  /** Task: forgets accounts that use nothing. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.o.clock.sleep(sweepMs, signal);
      const now = this.o.clock.now();
      for (const [name, { ledger }] of [...this.kept]) {
        if (ledger.isIdle(now)) {
          this.kept.delete(name);
        }
      }
    }
  }

  private onLimit(from: NodeId, call: LimitCall): LimitReply {
    if (this.o.ownerOf(call.account) !== this.o.self) {
      return { kind: 'elsewhere' };
    }
    const contract = this.o.quotaOf(call.account, call.tier);
    if (!contract) {
      return { kind: 'exhausted', limit: 'concurrency', retryAfterMs: recoveryMs };
    }
    const now = this.o.clock.now();
    const { ledger, recoversUntil } = this.find(call, contract, now);
    ledger.amend(contract, now);
    ledger.report(from, call.held - call.back.permits);
    ledger.takeBack(call.back, now);
    if (now < recoversUntil) {
      return { kind: 'recovering' };
    }
    return ledger.give(from, call, now);
  }

  private find(call: LimitCall, contract: Quota, now: Millis): Kept {
    const name = nameOf(call.account, call.tier);
    const known = this.kept.get(name);
    if (known) {
      return known;
    }
    // Soon after a change of nodes the account may have been kept elsewhere.
    const moved = this.o.previousOwnerOf(call.account) !== this.o.self;
    const recovers = moved && now < this.viewSince + recoveryMs;
    const ledger = Ledger.create(contract, now, !recovers);
    const fresh = { ledger, recoversUntil: recovers ? this.viewSince + recoveryMs : now };
    this.kept.set(name, fresh);
    return fresh;
  }
}

const separator = '\n';

function nameOf(account: AccountId, tier: TierId): string {
  return `${account}${separator}${tier}`;
}

function accountOf(name: string): AccountId {
  return name.slice(0, name.indexOf(separator)) as AccountId;
}
