/** The voters that a node knows of, from its own log, from its parent and from the settings. */

import { hash32 } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';

/** Keeps the voters up to date on nodes with and without a vote. */
export class KnownVoters {
  private fromParent: readonly NodeId[] = [];

  private constructor(
    private readonly configured: () => readonly NodeId[],
    private readonly own: () => readonly NodeId[] | undefined,
  ) {}

  /** `own` returns the voters in this node's log; undefined or empty where it keeps no log. */
  static create(
    configured: () => readonly NodeId[],
    own: () => readonly NodeId[] | undefined,
  ): KnownVoters {
    return new KnownVoters(configured, own);
  }

  /**
   * All nodes that may lead. The present voters come first; those in the settings follow, as they
   * may be the only ones that answer.
   */
  get all(): readonly NodeId[] {
    return [...new Set([...(this.own() ?? []), ...this.fromParent, ...this.configured()])];
  }

  /** Hash of the voters that the parent sent, so that it sends them again only after a change. */
  get receivedHash(): number {
    return hashOf(this.fromParent);
  }

  /**
   * The voters to send to a child that already has those with hash `knownHash`: the leader sends
   * those in its log, other nodes what their parent sent. Undefined where there is nothing new.
   */
  votersToSend(isLeader: boolean, knownHash: number): readonly NodeId[] | undefined {
    const voters = (isLeader ? this.own() : this.fromParent) ?? [];
    return voters.length > 0 && hashOf(voters) !== knownHash ? voters : undefined;
  }

  /** Records the voters that the parent sent, if any. */
  recordFromParent(voters: readonly NodeId[] | undefined): void {
    if (voters) this.fromParent = voters;
  }
}

function hashOf(voters: readonly NodeId[]): number {
  return hash32(voters.join(' '));
}
