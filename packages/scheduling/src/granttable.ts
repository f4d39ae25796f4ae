/** All grants of an owner that have not been released. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import type { HeldGrant, ReplicaLoad } from './replica.js';

/** A grant and the load of its replica. */
export interface GrantRecord {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

/** Index of grants by id and by attempt. */
export class GrantTable {
  private readonly byId = new Map<GrantId, GrantRecord>();
  private readonly byAttemptKey = new Map<string, HeldGrant>();

  static create(): GrantTable {
    return new GrantTable();
  }

  get size(): number {
    return this.byId.size;
  }

  get all(): Iterable<GrantRecord> {
    return this.byId.values();
  }

  /** Adds a grant here and to the load of its replica. Fails if its attempt has a grant already. */
  add(load: ReplicaLoad, held: HeldGrant): void {
    invariant(!this.byAttemptKey.has(held.attemptKey), 'an attempt was given two grants');
    load.add(held);
    this.byId.set(held.grant.id, { load, held });
    this.byAttemptKey.set(held.attemptKey, held);
  }

  /** Removes a grant here and from the load of its replica. */
  remove(id: GrantId): GrantRecord | undefined {
    const booked = this.byId.get(id);
    if (!booked) return undefined;
    this.byId.delete(id);
    this.byAttemptKey.delete(booked.held.attemptKey);
    booked.load.remove(id);
    return booked;
  }

  /**
   * Returns the grant of an attempt, if any, and sets its `lastSentAt`: the caller sends it again.
   */
  findForResend(attemptKey: string, now: Millis): Grant | undefined {
    const held = this.byAttemptKey.get(attemptKey);
    if (held) held.lastSentAt = now;
    return held?.grant;
  }

  /** Grants that were last sent before `time`, by entry. */
  lastSentBefore(time: Millis): ReadonlyMap<NodeId, readonly HeldGrant[]> {
    const out = new Map<NodeId, HeldGrant[]>();
    for (const { held } of this.byId.values()) {
      if (held.lastSentAt >= time) continue;
      const list = out.get(held.entry) ?? [];
      list.push(held);
      out.set(held.entry, list);
    }
    return out;
  }
}
