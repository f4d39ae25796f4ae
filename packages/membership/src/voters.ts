/** Who may lead, as a node knows it: from its own log, else as a parent told, else from the settings. */

import { hash32 } from '@tanagercart/base';
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

  /** Stands for what a parent told, so that it need not be told again. */
  get heardMark(): number {
    return markOf(this.heard);
  }

  /**
   * The voters to tell a node below that knows those of `mark`: the own ones on the leader, else
   * what the parent told; undefined where there is nothing new.
   */
  present(leads: boolean, mark: number): readonly NodeId[] | undefined {
    const known = (leads ? this.own() : this.heard) ?? [];
    return known.length > 0 && markOf(known) !== mark ? known : undefined;
  }

  /** Notes what a parent told. */
  told(voters: readonly NodeId[] | undefined): void {
    if (voters) this.heard = voters;
  }
}

function markOf(voters: readonly NodeId[]): number {
  return hash32(voters.join(' '));
}
