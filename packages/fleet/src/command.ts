/** The commands of the replicated log that change the state of the fleet, and their outcomes. */

import type { UpstreamId } from '@tanagercart/base';
import type { Delta } from '@tanagercart/config';
import { decode, encode } from '@tanagercart/protocol';
import type { UpstreamRecord } from '@tanagercart/protocol';

/**
 * What is to change of an upstream. Only `all` adds a record; the others change that of the same
 * incarnation. What is made from a copy of a record says so by its scope, as the record may have
 * changed since it was copied.
 */
export type ChangeScope = 'all' | 'all-but-layers' | 'phase' | 'layers';

/** A record, and which of its fields are to be taken; all where `scope` is missing. */
export interface UpstreamChange extends UpstreamRecord {
  readonly scope?: ChangeScope;
  /** Whether the upstream revokes an end that another writer recorded. */
  readonly revokes?: boolean;
}

/** One entry of the log. */
export type Command =
  /** Puts a document in force. `base` is the version that the delta applies to. */
  | {
      readonly kind: 'document';
      readonly version: number;
      readonly base: number;
      readonly delta: Delta;
    }
  /** Changes records. Those of an earlier incarnation are ignored, and no phase is reverted. */
  | { readonly kind: 'upstreams'; readonly records: readonly UpstreamChange[] }
  /** Removes the records of upstreams that are gone; others remain. */
  | { readonly kind: 'forget'; readonly upstreams: readonly UpstreamId[] }
  /** Counts a crash of upstreams against the request with this fingerprint. */
  | { readonly kind: 'strike'; readonly fingerprint: string }
  /** Changes nothing. Once it is applied, so is everything that was committed before it. */
  | { readonly kind: 'barrier' };

/** The result of applying a command. */
export type Outcome =
  | { readonly kind: 'done' }
  /** The document is not newer than the one in force. */
  | { readonly kind: 'older'; readonly inForce: number }
  /** The base of the delta is not kept any more, or the delta does not apply to it. */
  | { readonly kind: 'base-differs' };

export function encodeCommand(command: Command): Uint8Array {
  return encode(command);
}

export function decodeCommand(bytes: Uint8Array): Command {
  return decode<Command>(bytes);
}

export function encodeOutcome(outcome: Outcome): Uint8Array {
  return encode(outcome);
}

export function decodeOutcome(bytes: Uint8Array): Outcome {
  return decode<Outcome>(bytes);
}
