/** Messages between entries and voters: what upstreams and entries there are, and what is in force. */

import type { DataCentreId, Millis, NodeId, ServiceId, UpstreamId } from '@tanagercart/base';

/** What an upstream is at the moment. A phase is never taken back within one incarnation. */
export type UpstreamPhase = 'ready' | 'draining' | 'gone';

/** Layers from `from` up to, but without, `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** One incarnation of an upstream. */
export interface UpstreamRecord {
  readonly id: UpstreamId;
  /** Start of this incarnation, in milliseconds since 1970. */
  readonly born: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly phase: UpstreamPhase;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Names its kind of accelerator; undefined for plain services. */
  readonly accelerator: string | undefined;
  /** Layers that requests may use; undefined where it holds none. */
  readonly layers: LayerRange | undefined;
}

/** What an upstream says of itself. */
export interface Announcement extends UpstreamRecord {
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
}

/** Whether an entry takes new requests. */
export type EntryPhase = 'starting' | 'ready' | 'draining';

/** An entry that callers may use. */
export interface EntryRecord {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly phase: EntryPhase;
}

/** Requests in progress at an upstream. */
export interface UpstreamLoad {
  readonly id: UpstreamId;
  readonly sequences: number;
  /** Those that enter a path here. */
  readonly entered: number;
  readonly tokenLayers: number;
}

/** An upstream that failed a request, and how many milliseconds ago. */
export interface Suspicion {
  readonly id: UpstreamId;
  readonly born: number;
  readonly ageMs: Millis;
}

/** An upstream that is slower than its kind, and how many times. */
export interface Slowness {
  readonly id: UpstreamId;
  readonly factor: number;
}

/** What the leader tells every entry alike. */
export interface Bulletin {
  readonly entries: readonly EntryRecord[];
  readonly voters: readonly NodeId[];
  /** Load that all entries cause together. */
  readonly loads: readonly UpstreamLoad[];
  readonly suspicions: readonly Suspicion[];
  readonly slow: readonly Slowness[];
}

/** Asks the leader for all that changed, and tells it how the caller fares. */
export interface WatchCall {
  /** The caller where it is an entry. */
  readonly entry: EntryRecord | undefined;
  readonly loads: readonly UpstreamLoad[];
  readonly suspicions: readonly Suspicion[];
  /** Index of the log up to which the caller knows the state; 0 where it knows none. */
  readonly since: number;
  /** Version of the document that the caller holds; 0 where it holds none. */
  readonly documentVersion: number;
  /** How long the leader may wait for a change. */
  readonly waitMs: Millis;
}

/** A document, whole or as the difference to the one that the caller holds. */
export type DocumentUpdate =
  | { readonly kind: 'whole'; readonly version: number; readonly text: string }
  | { readonly kind: 'delta'; readonly version: number; readonly delta: unknown };

export type WatchReply =
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | {
      readonly kind: 'update';
      readonly index: number;
      /** The records are all that there are; whatever else the caller knows is gone. */
      readonly whole: boolean;
      readonly upstreams: readonly UpstreamRecord[];
      /** A packed `DocumentUpdate`; undefined where the caller holds the newest document. */
      readonly document: Uint8Array | undefined;
      /** Fingerprints of requests that crash upstreams. */
      readonly quarantined: readonly string[] | undefined;
      /** An encoded `Bulletin`: it is encoded once for all entries. */
      readonly bulletin: Uint8Array;
    };

/** Passes on to the leader what an upstream announced. */
export interface BeatCall {
  readonly announcement: Announcement;
}

export type BeatReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Submits a document that was checked. */
export interface SubmitCall {
  readonly version: number;
  readonly text: string;
}

export type SubmitReply =
  | { readonly kind: 'accepted'; readonly inForce: number }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Asks for the newest document. */
export interface ReadCall {
  readonly knownVersion: number;
}

export type ReadReply =
  | { readonly kind: 'document'; readonly version: number; readonly text: string | undefined }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** A node with a disk asks to become a voter. */
export interface JoinCall {
  readonly node: NodeId;
}

export interface JoinReply {
  readonly leader: NodeId | undefined;
  readonly voters: readonly NodeId[];
}

/** A request crashed the upstreams that ran it, as an entry saw it. */
export interface StrikeCall {
  readonly fingerprint: string;
}

export interface StrikeReply {
  readonly kind: 'recorded' | 'not-leader' | 'unavailable';
}
