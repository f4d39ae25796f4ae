/** All grants of an owner that were not released yet. */

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
  private readonly byAttempt = new Map<string, HeldGrant>();

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
    invariant(!this.byAttempt.has(held.key), 'an attempt was given two grants');
    load.add(held);
    this.byId.set(held.grant.id, { load, held });
    this.byAttempt.set(held.key, held);
  }

  /** Removes a grant here and from the load of its replica. */
  remove(id: GrantId): GrantRecord | undefined {
    const booked = this.byId.get(id);
    if (!booked) return undefined;
    this.byId.delete(id);
    this.byAttempt.delete(booked.held.key);
    booked.load.remove(id);
    return booked;
  }

  /** The grant of an attempt, to be sent to its entry again at `now`. */
  findForResend(key: string, now: Millis): Grant | undefined {
    const held = this.byAttempt.get(key);
    if (held) held.lastSentAt = now;
    return held?.grant;
  }

  /** Grants that were last sent before `at`, by entry. */
  lastSentBefore(at: Millis): ReadonlyMap<NodeId, readonly HeldGrant[]> {
    const out = new Map<NodeId, HeldGrant[]>();
    for (const { held } of this.byId.values()) {
      if (held.lastSentAt >= at) continue;
      const list = out.get(held.entry) ?? [];
      list.push(held);
      out.set(held.entry, list);
    }
    return out;
  }
}
