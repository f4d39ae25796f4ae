/** The shared state with its most recent commands, for nodes that follow this one. */

import { Bell, invariant } from '@tanagercart/base';
import type { CommittedCommand, StateSnapshot } from '@tanagercart/protocol';
import { SharedState, decodeCommand } from '@tanagercart/state';
import type { Outcome } from '@tanagercart/state';

/** Commands kept for followers; one that is further behind gets a snapshot. */
const keptCommands = 1024;

/** What a follower lacks. */
export interface Update {
  readonly commands: readonly CommittedCommand[];
  readonly snapshot: StateSnapshot | undefined;
}

/** The replicated state as one node holds it. */
export class History {
  readonly state = SharedState.create();
  /** Rings at each change of the state. */
  readonly changed = Bell.create();
  private readonly listeners: ((jumped: boolean) => void)[] = [];
  private recent: CommittedCommand[] = [];
  /** Index before the first of `recent`. */
  private base = 0;
  private encoded: StateSnapshot | undefined;

  static create(): History {
    return new History();
  }

  /** Calls `listener` at each change, before any other task runs; `jumped` after a snapshot. */
  onChange(listener: (jumped: boolean) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a committed command, unless it is applied already. */
  apply(index: number, bytes: Uint8Array): Outcome {
    if (index <= this.state.index) return { kind: 'stale' };
    const before = this.state.release.number;
    const outcome = this.state.apply(index, decodeCommand(bytes));
    invariant(this.state.release.number >= before, 'a release never reverts');
    this.recent.push({ index, bytes });
    this.trim();
    this.tell(false);
    return outcome;
  }

  /** Takes over a snapshot, unless it is older than the state. */
  restore(snapshot: StateSnapshot): void {
    if (snapshot.index <= this.state.index) return;
    this.state.restore(snapshot.index, snapshot.bytes);
    this.recent = [];
    this.base = snapshot.index;
    this.tell(true);
  }

  /** What a node lacks that has applied up to `applied`. */
  since(applied: number): Update {
    if (applied >= this.state.index) return { commands: [], snapshot: undefined };
    if (applied >= this.base) {
      return { commands: this.recent.filter((c) => c.index > applied), snapshot: undefined };
    }
    return { commands: [], snapshot: this.snapshot() };
  }

  /** The whole state, encoded once for all followers that ask before it changes. */
  private snapshot(): StateSnapshot {
    const { index } = this.state;
    this.encoded ??= { index, bytes: this.state.snapshot() };
    return this.encoded;
  }

  private tell(jumped: boolean): void {
    this.encoded = undefined;
    for (const listener of this.listeners) listener(jumped);
    this.changed.ring();
  }

  private trim(): void {
    while (this.recent.length > keptCommands) {
      this.base = this.recent.shift()!.index;
    }
  }
}
