/** Every grant that an owner gave and that was not given back. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import type { HeldGrant, ReplicaLoad } from './replica.js';

/** A grant and the replica that it is for. */
export interface Booked {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

/** Finds grants by id and by the attempt that they were given to. */
export class GrantBook {
  private readonly booked = new Map<GrantId, Booked>();
  private readonly byKey = new Map<string, HeldGrant>();

  static create(): GrantBook {
    return new GrantBook();
  }

  get size(): number {
    return this.booked.size;
  }

  get all(): Iterable<Booked> {
    return this.booked.values();
  }

  add(load: ReplicaLoad, held: HeldGrant): void {
    invariant(!this.byKey.has(held.key), 'an attempt was given two grants');
    load.add(held);
    this.booked.set(held.grant.id, { load, held });
    this.byKey.set(held.key, held);
  }

  remove(id: GrantId): Booked | undefined {
    const booked = this.booked.get(id);
    if (!booked) return undefined;
    this.booked.delete(id);
    this.byKey.delete(booked.held.key);
    booked.load.remove(id);
    return booked;
  }

  /** The grant of an attempt, which is told to its entry once more. */
  tellAgain(key: string, now: Millis): Grant | undefined {
    const held = this.byKey.get(key);
    if (held) held.toldAt = now;
    return held?.grant;
  }

  /** Grants last told before `at`, by the entry that they were told to. */
  toldBefore(at: Millis): ReadonlyMap<NodeId, readonly HeldGrant[]> {
    const out = new Map<NodeId, HeldGrant[]>();
    for (const { held } of this.booked.values()) {
      if (held.toldAt >= at) continue;
      const list = out.get(held.entry) ?? [];
      list.push(held);
      out.set(held.entry, list);
    }
    return out;
  }
}
