/** An operator who changes the document of a test fleet, and checks by which one entries answer. */

import type { Millis, NodeId } from '@tanagercart/base';
import type { ControlNode, FleetView } from '../src/index.js';
import { configApplyMs, documentOf } from './fleet.js';
import type { Fleet } from './fleet.js';

/** An answer by a document that an acknowledged one had replaced for longer than allowed. */
export interface OutdatedAnswer {
  readonly entry: NodeId;
  readonly version: number;
  readonly acknowledged: number;
  readonly lateMs: Millis;
}

/** Submits documents to a fleet, and checks by which document its entries would answer. */
export class Operator {
  readonly acknowledged: { readonly version: number; readonly at: Millis }[] = [];
  readonly outdated: OutdatedAnswer[] = [];
  /** Samples of entries that did not answer as their lease had run out. */
  refusals = 0;
  /** Time from the submission of each document to its acknowledgement. */
  readonly tookMs: Millis[] = [];
  private version = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly views: ReadonlyMap<NodeId, FleetView>,
  ) {}

  /** Submits the next document through `node`, and again until it is acknowledged. */
  async submit(node: () => ControlNode | undefined): Promise<void> {
    const { clock } = this.fleet;
    this.version += 1;
    const { version } = this;
    const submittedAt = clock.now();
    for (;;) {
      const done = await node()?.submit(documentOf(version));
      if (done?.isOk()) {
        this.acknowledged.push({ version: done.value, at: clock.now() });
        this.tookMs.push(clock.now() - submittedAt);
        return;
      }
      await clock.sleep(100);
    }
  }

  /** Advances the clock by `ms`, and samples all entries every 20 ms. */
  async watch(ms: Millis): Promise<void> {
    const { clock } = this.fleet;
    for (const end = clock.now() + ms; clock.now() < end;) {
      await clock.advance(20);
      const due = this.acknowledged.filter((a) => clock.now() - a.at > configApplyMs);
      const newest = due.reduce((max, a) => (a.version > max.version ? a : max), {
        version: 0,
        at: 0,
      });
      for (const [entry, view] of this.views) {
        const { version } = view.document;
        if (!view.isCurrent || version === 0) this.refusals += 1;
        else if (version < newest.version) {
          const lateMs = clock.now() - newest.at - configApplyMs;
          this.outdated.push({ entry, version, acknowledged: newest.version, lateMs });
        }
      }
    }
  }
}

/** Cuts a node off from all voters; in one direction, its calls arrive and are not answered. */
export function cutOff(fleet: Fleet, node: NodeId, direction: 'both' | 'replies'): void {
  for (const voter of fleet.nodes.keys()) {
    fleet.network.cut(voter, node);
    if (direction === 'both') fleet.network.cut(node, voter);
  }
}
