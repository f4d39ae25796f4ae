/**
 * The voter sets in the log. Each is a `VoterConfig`; a node always uses the latest one in its log,
 * committed or not (Ongaro 2014, section 4.1).
 */

import type { NodeId } from '@tanagercart/base';
import type { LogEntry, Member, VoterConfig } from '@tanagercart/protocol';
import type { Store } from './store.js';

const emptyConfig: VoterConfig = { voters: [], learners: [] };

interface IndexedConfig {
  readonly index: number;
  readonly config: VoterConfig;
}

/** The voter sets in the log since the snapshot. */
export class VoterSet {
  private configs: IndexedConfig[];

  private constructor(store: Store) {
    this.configs = configsInStore(store);
  }

  /** Reads the voter sets from a store. */
  static create(store: Store): VoterSet {
    return new VoterSet(store);
  }

  /** Reads the store again after a snapshot has replaced its log. */
  reload(store: Store): void {
    this.configs = configsInStore(store);
  }

  /** Applies appended entries, which replace the earlier ones from the index of `entries[0]` on. */
  append(entries: readonly LogEntry[]): void {
    const [first] = entries;
    if (!first) return;
    this.configs = this.configs.filter((c) => c.index < first.index || c.index === 0);
    this.configs.push(...configsInEntries(entries));
  }

  /** The voter set in use. */
  get config(): VoterConfig {
    return this.configs.at(-1)!.config;
  }

  /** Index of the entry that contains the voter set in use. */
  get index(): number {
    return this.configs.at(-1)!.index;
  }

  /** Whether this node's log contains no voter set yet. */
  get isEmpty(): boolean {
    return this.config.voters.length === 0;
  }

  /** The voter set that was in use at an applied index. */
  configAt(index: number): VoterConfig {
    return this.configs.filter((c) => c.index <= index).at(-1)?.config ?? emptyConfig;
  }

  /** Voters and learners. */
  get members(): readonly Member[] {
    return [...this.config.voters, ...this.config.learners];
  }

  /** Whether node `id` with disk `diskId` is a voter (not a learner). */
  isVoter(id: NodeId, diskId: string): boolean {
    return this.config.voters.some((m) => m.id === id && m.disk === diskId);
  }

  /** Whether a node with this disk is a voter or learner. */
  includes({ id, disk }: Member): boolean {
    return this.members.some((m) => m.id === id && m.disk === disk);
  }

  /** Whether node `id` is a voter or learner, but with another disk than `diskId`. */
  hasOtherDisk(id: NodeId, diskId: string): boolean {
    const known = this.members.filter((m) => m.id === id);
    return known.length > 0 && known.every((m) => m.disk !== diskId);
  }

  /** Number of voters that form a majority. */
  get quorum(): number {
    return quorumSize(this.config.voters.length);
  }

  /** The highest value that at least a quorum of the voters has reached. */
  quorumValue(valueOf: (member: Member) => number): number {
    const values = this.config.voters.map(valueOf).sort((a, b) => b - a);
    return values[this.quorum - 1] ?? 0;
  }
}

function configsInStore(store: Store): IndexedConfig[] {
  const { snapshot } = store;
  const base = snapshot ?? { index: 0, config: emptyConfig };
  const later = store.slice(base.index + 1, Infinity, Infinity);
  return [{ index: base.index, config: base.config }, ...configsInEntries(later)];
}

function configsInEntries(entries: readonly LogEntry[]): readonly IndexedConfig[] {
  return entries.flatMap(({ index, payload }) =>
    payload.kind === 'voters' ? [{ index, config: payload.config }] : [],
  );
}

/**
 * Whether a set of `voters` of which `answering` answer can commit the vote of one more, and go on,
 * if that one ends at the same moment. A set of one cannot grow but with the help of the second.
 */
export function bearsNewcomer(voters: number, answering: number): boolean {
  return answering >= Math.min(voters, quorumSize(voters + 1));
}

/** Number of voters that form a majority of `voters`. */
export function quorumSize(voters: number): number {
  return Math.floor(voters / 2) + 1;
}
