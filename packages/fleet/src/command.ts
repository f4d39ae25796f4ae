/** Commands of the replicated log that make the state of a fleet. */

import type { UpstreamId } from '@tanagercart/base';
import type { Delta } from '@tanagercart/config';
import { decode, encode } from '@tanagercart/protocol';
import type { UpstreamRecord } from '@tanagercart/protocol';

/** One change of the state. */
export type Command =
  /** Puts a document in force; `base` is the version that the delta is made from. */
  | {
      readonly kind: 'document';
      readonly version: number;
      readonly base: number;
      readonly delta: Delta;
    }
  | { readonly kind: 'upstreams'; readonly records: readonly UpstreamRecord[] }
  /** Drops records of upstreams that have long been gone. */
  | { readonly kind: 'forget'; readonly upstreams: readonly UpstreamId[] }
  /** Counts a crash of upstreams against a request. */
  | { readonly kind: 'strike'; readonly fingerprint: string }
  /** Changes nothing: whoever proposed it knows all that was committed before. */
  | { readonly kind: 'barrier' };

/** What became of a command. */
export type Outcome =
  | { readonly kind: 'done' }
  /** The document is not newer than the one in force. */
  | { readonly kind: 'older'; readonly inForce: number }
  /** The delta was made from another version. */
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
