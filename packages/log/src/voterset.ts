/** The voter set: always the latest one in the log, committed or not (Ongaro 2014, section 4.1). */

import type { NodeId } from '@tanagercart/base';
import type { LogEntry, Member, VoterConfig } from '@tanagercart/protocol';
import type { Store } from './store.js';

const nobody: VoterConfig = { voters: [], learners: [] };

interface Placed {
  readonly index: number;
  readonly config: VoterConfig;
}

/** Every voter set since the snapshot. */
export class VoterSet {
  private constructor(private held: Placed[]) {}

  /** The voter sets in a store. */
  static create(store: Store): VoterSet {
    const set = new VoterSet([]);
    set.reload(store);
    return set;
  }

  /** Reads the store again, after a snapshot has replaced its log. */
  reload(store: Store): void {
    const { snapshot } = store;
    const base = snapshot
      ? { index: snapshot.index, config: snapshot.config }
      : { index: 0, config: nobody };
    this.held = [base];
    this.append(store.slice(base.index + 1, Infinity, Infinity));
  }

  /** Follows entries that were appended, and cut off what stood in their place. */
  append(entries: readonly LogEntry[]): void {
    const [first] = entries;
    if (!first) return;
    this.held = this.held.filter((p) => p.index < first.index || p.index === 0);
    for (const { index, payload } of entries) {
      if (payload.kind === 'voters') this.held.push({ index, config: payload.config });
    }
  }

  /** The voter set in use. */
  get config(): VoterConfig {
    return this.held.at(-1)!.config;
  }

  /** Index of the entry that brought the voter set in use. */
  get index(): number {
    return this.held.at(-1)!.index;
  }

  /** Whether no log was formed yet, as far as this store tells. */
  get isEmpty(): boolean {
    return this.config.voters.length === 0;
  }

  /** The voter set as of an applied index. */
  at(index: number): VoterConfig {
    return this.held.filter((p) => p.index <= index).at(-1)?.config ?? nobody;
  }

  /** Voters and learners. */
  get members(): readonly Member[] {
    return [...this.config.voters, ...this.config.learners];
  }

  /** Whether a node votes with this disk. */
  isVoter(id: NodeId, disk: string): boolean {
    return this.config.voters.some((m) => m.id === id && m.disk === disk);
  }

  /** Whether a node is a member, but with another disk. */
  isReplaced(id: NodeId, disk: string): boolean {
    const known = this.members.filter((m) => m.id === id);
    return known.length > 0 && known.every((m) => m.disk !== disk);
  }

  get quorum(): number {
    return quorumOf(this.config);
  }

  /** The highest value that a quorum of the voters has reached. */
  reachedByQuorum(valueOf: (member: Member) => number): number {
    const values = this.config.voters.map(valueOf).sort((a, b) => b - a);
    return values[this.quorum - 1] ?? 0;
  }
}

/** How many voters are a majority. */
export function quorumOf(config: VoterConfig): number {
  return Math.floor(config.voters.length / 2) + 1;
}
