/**
 * The owner's side of quota. Each account is owned by one node, which holds the ledgers of its
 * tiers and answers the `limit` calls of all nodes. Ledgers are only in memory: a new owner
 * rebuilds the permits in use from what the nodes report.
 */

import type { AccountId, Clock, Millis, NodeId, TierId } from '@tanagercart/base';
import type { LimitCall, LimitReply, Transport } from '@tanagercart/protocol';
import { Ledger } from './ledger.js';
import type { Quota } from './quota.js';

/** How long a new owner grants nothing, while nodes report the permits that they hold. */
const recoveryMs: Millis = 300;

/** Pause between two sweeps for ledgers that can be dropped. */
const sweepMs: Millis = 5000;

export interface QuotaServerOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly transport: Transport;
  /** The owner of an account among the live nodes; undefined where none is live. */
  readonly ownerOf: (account: AccountId) => NodeId | undefined;
  /** The quota in force; undefined where the account or tier does not exist. */
  readonly quotaOf: (account: AccountId, tier: TierId) => Quota | undefined;
  readonly isLive: (node: NodeId) => boolean;
  /** The owner of an account before the set of live nodes last changed. */
  readonly previousOwnerOf: (account: AccountId) => NodeId | undefined;
}

interface OwnedLedger {
  readonly ledger: Ledger;
  /** Until then the ledger grants nothing. */
  readonly recoversUntil: Millis;
}

/** Serves `limit` calls for the accounts that this node owns. */
export class QuotaServer {
  private readonly ledgers = new Map<string, OwnedLedger>();
  /** When the set of live nodes last changed. */
  private nodesChangedAt: Millis;

  private constructor(private readonly o: QuotaServerOptions) {
    this.nodesChangedAt = o.clock.now();
  }

  static create(options: QuotaServerOptions): QuotaServer {
    const server = new QuotaServer(options);
    options.transport.serve('limit', async (from, call) => server.onLimit(from, call));
    return server;
  }

  /** The number of ledgers: accounts and tiers that are in use. */
  get size(): number {
    return this.ledgers.size;
  }

  /** Drops the permits of dead nodes, and the ledgers that other nodes own from now on. */
  onNodesChanged(): void {
    this.nodesChangedAt = this.o.clock.now();
    for (const [name, { ledger }] of [...this.ledgers]) {
      ledger.releaseDead(this.o.isLive);
      if (this.o.ownerOf(accountOf(name)) !== this.o.self) {
        this.ledgers.delete(name);
      }
    }
  }

  /** Task: drops idle ledgers, so that an account that uses nothing takes no memory. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.o.clock.sleep(sweepMs, signal);
      const now = this.o.clock.now();
      for (const [name, { ledger }] of [...this.ledgers]) {
        if (ledger.isIdle(now)) {
          this.ledgers.delete(name);
        }
      }
    }
  }

  private onLimit(from: NodeId, call: LimitCall): LimitReply {
    if (this.o.ownerOf(call.account) !== this.o.self) {
      return { kind: 'elsewhere' };
    }
    const quota = this.o.quotaOf(call.account, call.tier);
    if (!quota) {
      return { kind: 'exhausted', limit: 'concurrency', retryAfterMs: recoveryMs };
    }
    const now = this.o.clock.now();
    const { ledger, recoversUntil } = this.findOrCreate(call, quota, now);
    ledger.updateQuota(quota, now);
    ledger.recordHeld(from, call.held - call.back.permits);
    ledger.refund(call.back, now);
    if (now < recoversUntil) {
      return { kind: 'recovering' };
    }
    return ledger.grant(from, call, now);
  }

  private findOrCreate(call: LimitCall, quota: Quota, now: Millis): OwnedLedger {
    const name = nameOf(call.account, call.tier);
    const known = this.ledgers.get(name);
    if (known) {
      return known;
    }
    // Another node may have owned the account until shortly before now, and nodes may still hold
    // permits that it granted.
    const moved = this.o.previousOwnerOf(call.account) !== this.o.self;
    const recovers = moved && now < this.nodesChangedAt + recoveryMs;
    const ledger = Ledger.create(quota, now, !recovers);
    const fresh = { ledger, recoversUntil: recovers ? this.nodesChangedAt + recoveryMs : now };
    this.ledgers.set(name, fresh);
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
