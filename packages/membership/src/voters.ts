/** Who may lead, as a node knows it: from its own log, else as a parent told, else from the settings. */

import type { NodeId } from '@tanagercart/base';

/** The voters as one node knows them while it runs. */
export class KnownVoters {
  private heard: readonly NodeId[] = [];

  private constructor(
    private readonly configured: () => readonly NodeId[],
    private readonly own: () => readonly NodeId[] | undefined,
  ) {}

  /** `own` are the voters in this node's log; undefined or empty where it keeps none. */
  static create(
    configured: () => readonly NodeId[],
    own: () => readonly NodeId[] | undefined,
  ): KnownVoters {
    return new KnownVoters(configured, own);
  }

  /** Present voters first, then those of the settings, which may be the only ones that answer. */
  get all(): readonly NodeId[] {
    return [...new Set([...(this.own() ?? []), ...this.heard, ...this.configured()])];
  }

  /** The voters to tell those below: the own ones on the leader, else what the parent told. */
  present(leads: boolean): readonly NodeId[] | undefined {
    const known = leads ? this.own() : this.heard;
    return known && known.length > 0 ? known : undefined;
  }

  /** Notes what a parent told. */
  told(voters: readonly NodeId[] | undefined): void {
    if (voters) this.heard = voters;
  }
}
