/** The replicated state: what every node knows at one index of the log. */

import { invariant, unreachable } from '@tanagercart/base';
import type { Digest, Millis, ModelId, NodeId, ReplicaId, UpstreamId } from '@tanagercart/base';
import { decode, encode } from '@tanagercart/protocol';
import type { NodeAddress } from '@tanagercart/protocol';
import { Release, applyNote } from '@tanagercart/release';
import type { ReleaseNote, ReleaseParts } from '@tanagercart/release';
import type { Command, OrderKey, OrderOutcome, Outcome, Replica, Upstream } from './command.js';

/** Upstreams that one request may crash before it is quarantined. */
export const strikeLimit = 2;

/** An accepted release note. */
export interface AcceptedNote {
  readonly number: number;
  readonly digest: Digest;
  readonly author: string;
  /** Log index of its acceptance. */
  readonly index: number;
  /** Wall time of its acceptance. */
  readonly at: Millis;
  readonly note: ReleaseNote;
}

/** A node that is up. */
export interface LiveNode {
  readonly address: NodeAddress;
  readonly incarnation: string;
  /** Log index at which it came up: the epoch of what it owns from then on. */
  readonly since: number;
}

/** An order that was claimed. */
export interface Order {
  readonly digest: Digest;
  readonly claimant: string;
  readonly at: Millis;
  readonly outcome: OrderOutcome | undefined;
}

/** A request that crashed upstreams. */
export interface Strikes {
  readonly upstreams: readonly UpstreamId[];
  readonly at: Millis;
}

interface Image {
  readonly number: number;
  readonly parts: ReleaseParts;
  readonly notes: readonly AcceptedNote[];
  readonly nodes: readonly LiveNode[];
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly Replica[];
  readonly view: number;
  readonly orders: readonly (readonly [string, Order])[];
  readonly strikes: readonly (readonly [Digest, Strikes])[];
}

/** The replicated state. Only `apply` and `restore` change it, and only forwards. */
export class SharedState {
  private at = 0;
  private current = Release.empty();
  private readonly accepted: AcceptedNote[] = [];
  private readonly live = new Map<NodeId, LiveNode>();
  private readonly roster = new Map<UpstreamId, Upstream>();
  private readonly chains = new Map<ReplicaId, Replica>();
  private readonly orders = new Map<string, Order>();
  private readonly struck = new Map<Digest, Strikes>();
  private viewIndex = 0;

  static create(): SharedState {
    return new SharedState();
  }

  /** Log index of the last command applied. */
  get index(): number {
    return this.at;
  }

  /** The release of the last note applied. */
  get release(): Release {
    return this.current;
  }

  /** Every accepted note, oldest first. */
  get notes(): readonly AcceptedNote[] {
    return this.accepted;
  }

  get nodes(): ReadonlyMap<NodeId, LiveNode> {
    return this.live;
  }

  get upstreams(): ReadonlyMap<UpstreamId, Upstream> {
    return this.roster;
  }

  get replicas(): ReadonlyMap<ReplicaId, Replica> {
    return this.chains;
  }

  /** Log index of the last change of the set of live nodes: the epoch of ownership. */
  get view(): number {
    return this.viewIndex;
  }

  /** Whether requests with this fingerprint are refused. */
  isQuarantined(fingerprint: Digest): boolean {
    return (this.struck.get(fingerprint)?.upstreams.length ?? 0) >= strikeLimit;
  }

  /** Every quarantined fingerprint. */
  quarantine(): readonly Digest[] {
    return [...this.struck.keys()].filter((f) => this.isQuarantined(f));
  }

  /** The claim for an order, where there is one. */
  order(key: OrderKey): Order | undefined {
    return this.orders.get(orderName(key));
  }

  /** Applies the command at `index`; earlier indexes are ignored as already applied. */
  apply(index: number, command: Command): Outcome {
    if (index <= this.at) return { kind: 'stale' };
    const outcome = this.change(index, command);
    this.at = index;
    return outcome;
  }

  /** Encodes the whole state. */
  snapshot(): Uint8Array {
    const image: Image = {
      number: this.current.number,
      parts: this.current.parts(),
      notes: this.accepted,
      nodes: [...this.live.values()],
      upstreams: [...this.roster.values()],
      replicas: [...this.chains.values()],
      view: this.viewIndex,
      orders: [...this.orders],
      strikes: [...this.struck],
    };
    return encode(image);
  }

  /** Replaces the state by a snapshot taken at `index`, unless it is older than this state. */
  restore(index: number, bytes: Uint8Array): void {
    if (index <= this.at) return;
    const image = decode<Image>(bytes);
    invariant(image.number >= this.current.number, 'a snapshot must not revert the release');
    this.current = Release.create(image.number, image.parts);
    this.accepted.splice(0, this.accepted.length, ...image.notes);
    refill(
      this.live,
      image.nodes.map((n) => [n.address.id, n]),
    );
    refill(
      this.roster,
      image.upstreams.map((u) => [u.id, u]),
    );
    refill(
      this.chains,
      image.replicas.map((r) => [r.id, r]),
    );
    refill(this.orders, image.orders);
    refill(this.struck, image.strikes);
    this.viewIndex = image.view;
    this.at = index;
  }

  private change(index: number, command: Command): Outcome {
    switch (command.kind) {
      case 'accept-release':
        return this.acceptRelease(index, command.note, command.digest, command.at);
      case 'node-up':
        return this.nodeUp(index, command.node, command.incarnation);
      case 'node-down':
        return this.nodeDown(index, command.node, command.incarnation);
      case 'upstream-up':
        this.roster.set(command.upstream.id, command.upstream);
        return { kind: 'done' };
      case 'upstream-down':
        return this.upstreamDown(command.upstream, command.incarnation);
      case 'plan':
        return this.plan(command.model, command.replicas);
      case 'claim-order':
        return this.claimOrder(command.order, command.digest, command.claimant, command.at);
      case 'settle-order':
        return this.settleOrder(command.order, command.claimant, command.outcome);
      case 'strike':
        return this.strike(command.fingerprint, command.upstream, command.at);
      case 'lift-quarantine':
        return this.struck.delete(command.fingerprint) ? { kind: 'done' } : { kind: 'stale' };
      default:
        return unreachable(command);
    }
  }

  private acceptRelease(index: number, note: ReleaseNote, digest: Digest, at: Millis): Outcome {
    const earlier = this.accepted.find((n) => n.number === note.number);
    if (earlier?.digest === digest) {
      return { kind: 'release-accepted', number: note.number, index: earlier.index, resend: true };
    }
    if (note.number !== this.current.number + 1) {
      return { kind: 'release-conflict', number: this.current.number, inForce: this.lastDigest() };
    }
    const next = applyNote(this.current, note);
    if (next.isErr()) return { kind: 'release-invalid', problems: next.error };
    this.current = next.value;
    this.accepted.push({ number: note.number, digest, author: note.author, index, at, note });
    return { kind: 'release-accepted', number: note.number, index, resend: false };
  }

  private lastDigest(): Digest {
    return this.accepted.at(-1)?.digest ?? ('' as Digest);
  }

  private nodeUp(index: number, address: NodeAddress, incarnation: string): Outcome {
    this.live.set(address.id, { address, incarnation, since: index });
    this.viewIndex = index;
    return { kind: 'done' };
  }

  private nodeDown(index: number, node: NodeId, incarnation: string): Outcome {
    if (this.live.get(node)?.incarnation !== incarnation) return { kind: 'stale' };
    this.live.delete(node);
    this.viewIndex = index;
    return { kind: 'done' };
  }

  private upstreamDown(upstream: UpstreamId, incarnation: string): Outcome {
    if (this.roster.get(upstream)?.incarnation !== incarnation) return { kind: 'stale' };
    this.roster.delete(upstream);
    for (const replica of [...this.chains.values()]) {
      if (replica.stages.includes(upstream)) this.chains.delete(replica.id);
    }
    return { kind: 'done' };
  }

  private plan(model: ModelId, replicas: readonly Replica[]): Outcome {
    const missing = replicas.some((r) => r.stages.some((s) => !this.roster.has(s)));
    if (missing) return { kind: 'stale' };
    for (const replica of [...this.chains.values()]) {
      if (replica.model === model) this.chains.delete(replica.id);
    }
    for (const replica of replicas) this.chains.set(replica.id, replica);
    return { kind: 'done' };
  }

  private claimOrder(key: OrderKey, digest: Digest, claimant: string, at: Millis): Outcome {
    const known = this.orders.get(orderName(key));
    if (known && known.digest !== digest) return { kind: 'order-conflict' };
    if (known && known.outcome?.kind !== 'not-run') {
      return { kind: 'order-known', outcome: known.outcome };
    }
    this.orders.set(orderName(key), { digest, claimant, at, outcome: undefined });
    return { kind: 'order-claimed' };
  }

  private settleOrder(key: OrderKey, claimant: string, outcome: OrderOutcome): Outcome {
    const known = this.orders.get(orderName(key));
    if (!known || known.claimant !== claimant || known.outcome) return { kind: 'stale' };
    this.orders.set(orderName(key), { ...known, outcome });
    return { kind: 'done' };
  }

  private strike(fingerprint: Digest, upstream: UpstreamId, at: Millis): Outcome {
    const known = this.struck.get(fingerprint)?.upstreams ?? [];
    if (known.includes(upstream)) return { kind: 'stale' };
    this.struck.set(fingerprint, { upstreams: [...known, upstream], at });
    return { kind: 'done' };
  }
}

/** Encodes a command for the log. */
export function encodeCommand(command: Command): Uint8Array {
  return encode(command);
}

/** Decodes a command from the log. */
export function decodeCommand(bytes: Uint8Array): Command {
  return decode<Command>(bytes);
}

function orderName(key: OrderKey): string {
  return JSON.stringify([key.account, key.key]);
}

function refill<K, V>(table: Map<K, V>, rows: readonly (readonly [K, V])[]): void {
  table.clear();
  for (const [k, v] of rows) table.set(k, v);
}
