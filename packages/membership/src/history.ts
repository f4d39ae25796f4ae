/** The shared state with its most recent commands, from which followers are brought up to date. */

import { Bell, invariant } from '@tanagercart/base';
import type { CommittedCommand, StateSnapshot } from '@tanagercart/protocol';
import { SharedState, decodeCommand } from '@tanagercart/state';
import type { Outcome } from '@tanagercart/state';

/** Commands kept for followers; a follower that lacks older ones is sent a snapshot. */
const maxRecentCommands = 1024;

/** What a follower lacks: the missing commands, or a snapshot in place of them. */
export interface Update {
  readonly commands: readonly CommittedCommand[];
  readonly snapshot: StateSnapshot | undefined;
}

/** One node's copy of the replicated state. */
export class History {
  readonly state = SharedState.create();
  /** Rings at each change of the state. */
  readonly changed = Bell.create();
  private readonly listeners: ((restored: boolean) => void)[] = [];
  private recent: CommittedCommand[] = [];
  /** Index of the last command that is no longer in `recent`. */
  private base = 0;
  private cachedSnapshot: StateSnapshot | undefined;

  static create(): History {
    return new History();
  }

  /**
   * Calls `listener` synchronously after each change. Its argument is true after a snapshot was
   * restored, where intermediate states were skipped.
   */
  onChange(listener: (restored: boolean) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a committed command, unless it was applied before. */
  apply(index: number, bytes: Uint8Array): Outcome {
    if (index <= this.state.index) return { kind: 'stale' };
    const before = this.state.release.number;
    const outcome = this.state.apply(index, decodeCommand(bytes));
    invariant(this.state.release.number >= before, 'a release never reverts');
    this.recent.push({ index, bytes });
    this.trim();
    this.notify(false);
    return outcome;
  }

  /** Replaces the state by a snapshot, unless the snapshot is older. */
  restore(snapshot: StateSnapshot): void {
    if (snapshot.index <= this.state.index) return;
    this.state.restore(snapshot.index, snapshot.bytes);
    this.recent = [];
    this.base = snapshot.index;
    this.notify(true);
  }

  /** What a node lacks that has applied all commands up to index `applied`. */
  since(applied: number): Update {
    if (applied >= this.state.index) return { commands: [], snapshot: undefined };
    if (applied >= this.base) {
      return { commands: this.recent.filter((c) => c.index > applied), snapshot: undefined };
    }
    return { commands: [], snapshot: this.snapshot() };
  }

  /** The encoded state. All followers that ask for it before the next change share one encoding. */
  private snapshot(): StateSnapshot {
    const { index } = this.state;
    this.cachedSnapshot ??= { index, bytes: this.state.snapshot() };
    return this.cachedSnapshot;
  }

  private notify(restored: boolean): void {
    this.cachedSnapshot = undefined;
    for (const listener of this.listeners) listener(restored);
    this.changed.ring();
  }

  private trim(): void {
    while (this.recent.length > maxRecentCommands) {
      this.base = this.recent.shift()!.index;
    }
  }
}
