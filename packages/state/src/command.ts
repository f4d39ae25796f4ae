/** The commands that change the replicated state, with their encoding and their outcomes. */

import { decode, encode } from '@tanagercart/protocol';
import type { NodeCommand, NodeOutcome } from './nodes.js';
import type { OrderCommand, OrderCommandOutcome } from './orders.js';
import type { PlacementCommand, PlacementOutcome } from './placement.js';
import type { QuarantineCommand, QuarantineOutcome } from './quarantine.js';
import type { ReleaseCommand, ReleaseOutcome } from './releases.js';
import type { RosterCommand, RosterOutcome } from './roster.js';
import type { UpstreamCommand, UpstreamOutcome } from './upstreams.js';

/** One change of the replicated state, stored as an entry of the log. */
export type Command =
  | ReleaseCommand
  | NodeCommand
  | RosterCommand
  | UpstreamCommand
  | OrderCommand
  | QuarantineCommand
  | PlacementCommand
  /** Several commands in one log entry, applied in order under one index. */
  | { readonly kind: 'batch'; readonly commands: readonly Command[] };

/**
 * The outcome of applying a command. `stale` means that the command changed nothing, because the
 * state has changed since it was proposed or its log index was applied before.
 */
export type Outcome =
  | ReleaseOutcome
  | NodeOutcome
  | RosterOutcome
  | UpstreamOutcome
  | OrderCommandOutcome
  | QuarantineOutcome
  | PlacementOutcome
  | { readonly kind: 'batch'; readonly outcomes: readonly Outcome[] };

/** Encodes a command for the log. */
export function encodeCommand(command: Command): Uint8Array {
  return encode(command);
}

/** Decodes a command from the log. */
export function decodeCommand(bytes: Uint8Array): Command {
  return decode<Command>(bytes);
}
