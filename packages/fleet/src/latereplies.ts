/** Collects the replies of a leader that come after a search has turned to other nodes. */

import { createStopController, waitEnded } from '@tanagercart/base';
import type { Clock, Millis, NodeId } from '@tanagercart/base';

/** A reply, and the node that sent it. */
export interface LateReply<T> {
  readonly node: NodeId;
  readonly reply: T;
}

/** The late replies of one search. */
export class LateReplies<T> {
  /** Resolves with the first late reply; never, if there is none. */
  readonly first: Promise<LateReply<T>>;
  private readonly ending = createStopController();
  private readonly resolveFirst: (late: LateReply<T>) => void;
  private expected = 0;

  private constructor() {
    let resolveFirst!: (late: LateReply<T>) => void;
    this.first = new Promise((resolve) => {
      resolveFirst = resolve;
    });
    this.resolveFirst = resolveFirst;
  }

  static create<T>(): LateReplies<T> {
    return new LateReplies<T>();
  }

  /** Aborted once the search has ended. */
  get ended(): AbortSignal {
    return this.ending.signal;
  }

  /** Waits for the reply of a node; undefined stands for one that does not count. */
  expect(node: NodeId, reply: Promise<T | undefined>): void {
    this.expected += 1;
    void reply.then((value) => {
      if (value !== undefined) this.resolveFirst({ node, reply: value });
    });
  }

  /** The first late reply, if one is expected and comes within `ms`. */
  async firstWithin(ms: Millis, clock: Clock): Promise<LateReply<T> | undefined> {
    if (this.expected === 0) return undefined;
    const waited = clock.sleep(ms, this.ended).then(() => undefined);
    return Promise.race([this.first, waited]);
  }

  /** Ends the calls that are still open. */
  end(): void {
    this.ending.abort(waitEnded);
  }
}
