/** Turns what a node knows of those below it into reports that tell only what is new. */

import type { NodeId } from '@tanagercart/base';
import type { FollowerReport } from '@tanagercart/protocol';
import type { Subtree } from './subtree.js';

/** The changing part of a follow call. */
export interface ReportPart {
  readonly seq: number;
  readonly full: boolean;
  readonly below: readonly FollowerReport[];
  readonly gone: readonly NodeId[];
}

/** What a node has told its parent so far. */
export class Reporter {
  private seq = 0;
  private told = new Map<NodeId, FollowerReport>();
  private wantsFull = true;

  private constructor(private readonly subtree: Subtree) {}

  static create(subtree: Subtree): Reporter {
    return new Reporter(subtree);
  }

  /** Makes the next report list everything, as for a new parent or after a lost call. */
  startOver(): void {
    this.wantsFull = true;
  }

  /** The next report. */
  next(): ReportPart {
    this.seq += 1;
    const full = this.wantsFull;
    this.wantsFull = false;
    const now = new Map([...this.subtree.sightings()].map(([id, s]) => [id, s.report]));
    const told = full ? new Map<NodeId, FollowerReport>() : this.told;
    const below = [...now.values()].filter((r) => !same(told.get(r.node.id), r));
    const gone = [...told.keys()].filter((id) => !now.has(id));
    this.told = now;
    return { seq: this.seq, full, below, gone };
  }
}

function same(a: FollowerReport | undefined, b: FollowerReport): boolean {
  return a?.incarnation === b.incarnation && a.draining === b.draining;
}
