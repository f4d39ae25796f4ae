/** Reports the nodes below a node to its parent, listing only what changed since the last call. */

import type { NodeId } from '@tanagercart/base';
import type { FollowerReport } from '@tanagercart/protocol';
import type { Subtree } from './subtree.js';

/** The fields of a follow call that report the nodes below the caller. */
export interface SubtreeReport {
  readonly seq: number;
  readonly full: boolean;
  readonly below: readonly FollowerReport[];
  readonly gone: readonly NodeId[];
}

/** Creates the reports of one node to its parent, and stores what it has sent so far. */
export class SubtreeReporter {
  private seq = 0;
  private sent = new Map<NodeId, FollowerReport>();
  private fullRequired = true;

  private constructor(private readonly subtree: Subtree) {}

  static create(subtree: Subtree): SubtreeReporter {
    return new SubtreeReporter(subtree);
  }

  /** Makes the next report list all nodes, as a new parent or a lost call requires. */
  requireFull(): void {
    this.fullRequired = true;
  }

  /** Creates the next report. */
  next(): SubtreeReport {
    this.seq += 1;
    const full = this.fullRequired;
    this.fullRequired = false;
    const reports = new Map([...this.subtree.liveReports()].map(([id, r]) => [id, r.report]));
    const sent = full ? new Map<NodeId, FollowerReport>() : this.sent;
    const below = [...reports.values()].filter((r) => !isEqual(sent.get(r.node.id), r));
    const gone = [...sent.keys()].filter((id) => !reports.has(id));
    this.sent = reports;
    return { seq: this.seq, full, below, gone };
  }
}

function isEqual(a: FollowerReport | undefined, b: FollowerReport): boolean {
  return a?.incarnation === b.incarnation && a.draining === b.draining;
}
