/**
 * The replicated state machine. Every node that has applied the log up to the same index has the
 * same state.
 */

import { unreachable } from '@tanagercart/base';
import type { NodeId, ReplicaId, UpstreamId } from '@tanagercart/base';
import { decode, encode } from '@tanagercart/protocol';
import type { Release } from '@tanagercart/release';
import type { Command, Outcome } from './command.js';
import { NodeTable } from './nodes.js';
import type { LiveNode, NodeSnapshot } from './nodes.js';
import { OrderTable } from './orders.js';
import type { OrderSnapshot } from './orders.js';
import { PlacementTable } from './placement.js';
import type { PlacementSnapshot } from './placement.js';
import { QuarantineTable } from './quarantine.js';
import type { QuarantineSnapshot } from './quarantine.js';
import { ReleaseTable } from './releases.js';
import type { ReleaseSnapshot } from './releases.js';
import type { RosterCommand, RosterOutcome } from './roster.js';
import { UpstreamTable } from './upstreams.js';
import type { Replica, Upstream, UpstreamSnapshot } from './upstreams.js';

/** The state as a snapshot stores it. */
interface StateSnapshot {
  readonly releases: ReleaseSnapshot;
  readonly nodes: NodeSnapshot;
  readonly upstreams: UpstreamSnapshot;
  readonly orders: OrderSnapshot;
  readonly quarantine: QuarantineSnapshot;
  readonly placement: PlacementSnapshot;
}

/** The replicated state. Only `apply` and `restore` change it, and neither lowers its index. */
export class SharedState {
  readonly releases = ReleaseTable.create();
  readonly orders = OrderTable.create();
  readonly quarantine = QuarantineTable.create();
  readonly placement = PlacementTable.create();
  private readonly nodeTable = NodeTable.create();
  private readonly upstreamTable = UpstreamTable.create();
  private appliedIndex = 0;

  static create(): SharedState {
    return new SharedState();
  }

  /** Log index of the last command that was applied or covered by a restored snapshot. */
  get index(): number {
    return this.appliedIndex;
  }

  /** The release that the last accepted note produced. */
  get release(): Release {
    return this.releases.current;
  }

  /** The nodes that are up. */
  get nodes(): ReadonlyMap<NodeId, LiveNode> {
    return this.nodeTable.live;
  }

  /** Log index of the last change of the set of live nodes. Serves as the epoch of ownership. */
  get view(): number {
    return this.nodeTable.view;
  }

  /** Whether the node has been recorded with a later incarnation than this one. */
  isSuperseded(node: NodeId, incarnation: string): boolean {
    return this.nodeTable.isSuperseded(node, incarnation);
  }

  /** Whether this process was recorded as down and is known to issue no more grants. */
  hasStopped(node: NodeId, incarnation: string): boolean {
    const departure = this.nodeTable.departure(node);
    return departure?.incarnation === incarnation && departure.stopped;
  }

  /** Counts the changes of upstreams and replicas. Local to this node, not part of the state. */
  get rosterVersion(): number {
    return this.upstreamTable.version;
  }

  get upstreams(): ReadonlyMap<UpstreamId, Upstream> {
    return this.upstreamTable.upstreams;
  }

  get replicas(): ReadonlyMap<ReplicaId, Replica> {
    return this.upstreamTable.replicas;
  }

  /** Applies the command at `index`. An index that was applied before has the outcome `stale`. */
  apply(index: number, command: Command): Outcome {
    if (index <= this.appliedIndex) {
      return { kind: 'stale' };
    }
    const outcome = this.applyCommand(index, command);
    this.appliedIndex = index;
    return outcome;
  }

  /** Encodes the whole state at `index`. */
  snapshot(): Uint8Array {
    const snapshot: StateSnapshot = {
      releases: this.releases.snapshot(),
      nodes: this.nodeTable.snapshot(),
      upstreams: this.upstreamTable.snapshot(),
      orders: this.orders.snapshot(),
      quarantine: this.quarantine.snapshot(),
      placement: this.placement.snapshot(),
    };
    return encode(snapshot);
  }

  /** Replaces the state by a snapshot taken at `index`, unless the snapshot is not newer. */
  restore(index: number, bytes: Uint8Array): void {
    if (index <= this.appliedIndex) {
      return;
    }
    const snapshot = decode<StateSnapshot>(bytes);
    this.releases.restore(snapshot.releases);
    this.nodeTable.restore(snapshot.nodes);
    this.upstreamTable.restore(snapshot.upstreams);
    this.orders.restore(snapshot.orders);
    this.quarantine.restore(snapshot.quarantine);
    this.placement.restore(snapshot.placement);
    this.appliedIndex = index;
  }

  private applyCommand(index: number, command: Command): Outcome {
    switch (command.kind) {
      case 'accept-release':
        return this.releases.apply(index, command);
      case 'node-up':
        return this.nodeTable.apply(index, command);
      case 'node-down': {
        const outcome = this.nodeTable.apply(index, command);
        if (!this.nodes.has(command.node)) this.orders.expireClaims(command.node);
        return outcome;
      }
      case 'upstream-up':
      case 'upstream-down': {
        const outcome = this.upstreamTable.apply(command);
        this.placement.removeStaleOrders(this.upstreams);
        return outcome;
      }
      case 'plan':
        return this.upstreamTable.apply(command);
      case 'roster':
        return this.applyRoster(index, command);
      case 'claim-order':
      case 'settle-order':
        return this.orders.apply(command);
      case 'strike':
      case 'absolve':
      case 'lift-quarantine':
        return this.quarantine.apply(command);
      case 'take-placement':
      case 'issue-upstream-order':
      case 'settle-upstream-order':
        return this.placement.apply(index, command);
      case 'batch':
        return {
          kind: 'batch',
          outcomes: command.commands.map((c) => this.applyCommand(index, c)),
        };
      default:
        return unreachable(command);
    }
  }

  private applyRoster(index: number, { changes }: RosterCommand): RosterOutcome {
    const outcomes = changes.map((c) => this.applyCommand(index, c));
    return { kind: 'roster-done', stale: outcomes.filter((o) => o.kind === 'stale').length };
  }
}
