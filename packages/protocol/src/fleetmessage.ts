/**
 * Messages between entry nodes, which serve callers, and voters: the upstreams, the entries, and
 * the document (the configuration) in force.
 */

import type { DataCentreId, Millis, NodeId, ServiceId, UpstreamId } from '@tanagercart/base';
import type { LimitNotice } from './permitmessage.js';

/** The state of an upstream. Within one incarnation it only moves forward in this order. */
export type UpstreamPhase = 'ready' | 'draining' | 'gone';

/** A half-open range of layers: `from` is inclusive, `to` exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** One incarnation (process lifetime) of an upstream. */
export interface UpstreamRecord {
  readonly id: UpstreamId;
  /** Start of this incarnation, in milliseconds since 1970. */
  readonly born: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly phase: UpstreamPhase;
  /** Largest number of requests that it runs at the same time. */
  readonly slots: number;
  /** Its kind of accelerator; undefined for plain services. */
  readonly accelerator: string | undefined;
  /** Layers that requests may use; undefined if it holds none. */
  readonly layers: LayerRange | undefined;
  /** Whether another writer recorded it as gone, which its own later announcements revoke. */
  readonly isRevocable?: boolean | undefined;
}

/** Tells one incarnation of an upstream from the others. */
export type UpstreamIncarnation = Pick<UpstreamRecord, 'id' | 'born'>;

/** The state of an upstream, as the upstream reported it. */
export interface Announcement extends UpstreamRecord {
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
}

/** The state of an entry. Only a ready entry takes new requests. */
export type EntryPhase = 'starting' | 'ready' | 'draining';

/** An entry, as callers and other nodes see it. */
export interface EntryRecord {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly phase: EntryPhase;
  /** Whether it has lost its own links to upstreams; missing in older entries. */
  readonly isDetached?: boolean;
}

/** The load that requests in progress cause at an upstream. */
export interface UpstreamLoad {
  readonly id: UpstreamId;
  /** Requests in progress. */
  readonly sequences: number;
  /** Requests whose path starts at this upstream. */
  readonly entered: number;
  /** Sum over these requests of their tokens times the layers that they use here. */
  readonly tokenLayers: number;
}

/** Activations of prompts that go to another data centre, until the first tokens of the requests. */
export interface TransferLoad {
  readonly service: ServiceId;
  readonly bytes: number;
}

/** A report that an upstream failed a request `ageMs` ago. */
export interface Suspicion {
  readonly id: UpstreamId;
  readonly born: number;
  readonly ageMs: Millis;
  /**
   * Whether the upstream only gave no answer in time; otherwise, or if an older entry reports it, it
   * could not be reached.
   */
  readonly isSilent?: boolean;
}

/** An upstream that is slower by `factor` than others of its kind of accelerator. */
export interface Slowness {
  readonly id: UpstreamId;
  readonly factor: number;
}

/** What the requests for a service ask for. */
export interface ServiceDemand {
  readonly service: ServiceId;
  /** Tokens per second, by priority. */
  readonly tokensPerSecond: readonly number[];
}

/** The demand at all entries that report it. */
export interface FleetDemand {
  /** Number of these entries. */
  readonly reporters: number;
  readonly services: readonly ServiceDemand[];
}
/**
 * The limit on the requests that all entries together have in progress at an upstream. `step` grows
 * with each change of the limit, `turn` each time that it is dealt to other entries.
 */
export type PaceRow = readonly [
  id: UpstreamId,
  born: number,
  limit: number,
  step: number,
  turn: number,
];

/** A pace as an entry knows it, and the answers that it received since the step began. */
export type PaceReport = readonly [
  id: UpstreamId,
  born: number,
  limit: number,
  step: number,
  good: number,
  slow: number,
  failed: number,
];

/** The part of the leader's reply that is the same for all entries. */
export interface Bulletin {
  readonly entries: readonly EntryRecord[];
  readonly voters: readonly NodeId[];
  /** Load that all entries together cause. */
  readonly loads: readonly UpstreamLoad[];
  readonly suspicions: readonly Suspicion[];
  readonly slow: readonly Slowness[];
  /**
   * Parts of prompts, and fingerprints of requests, that may crash upstreams; missing if an older
   * leader sent the bulletin.
   */
  readonly suspectedParts?: readonly string[];
  /** Limits that upstreams name or have just ceased to name; missing in bulletins of older leaders. */
  readonly limits?: readonly LimitNotice[];
  /** Demand for services with an engine; missing in bulletins of older leaders. */
  readonly demand?: FleetDemand;
  /** The paced upstreams; missing where there are none, and in bulletins of older leaders. */
  readonly paces?: readonly PaceRow[];
  /** Transfers of all entries, by service; missing in bulletins of older leaders. */
  readonly transfers?: readonly TransferLoad[];
}

/** A load as id, sequences, entered and token layers; its fields would need more bytes than it does. */
export type LoadRow = readonly [
  id: UpstreamId,
  sequences: number,
  entered: number,
  tokenLayers: number,
];

/** The bulletin for callers that name the revision of the list of entries that they have. */
export interface CompactBulletin extends Omit<Bulletin, 'entries' | 'loads'> {
  readonly entriesRevision: string;
  /** Undefined if the caller has this revision. */
  readonly entries: readonly EntryRecord[] | undefined;
  readonly loadRows: readonly LoadRow[];
}

/** Asks the leader for changes of the state, and reports the state and load of the caller. */
export interface WatchCall {
  /** The caller's own record; undefined if it is not an entry. */
  readonly entry: EntryRecord | undefined;
  readonly loads: readonly UpstreamLoad[];
  readonly suspicions: readonly Suspicion[];
  /** What responses told the caller of limits since a short while; missing in older entries. */
  readonly limits?: readonly LimitNotice[];
  /** Transfers of the caller's requests, by service; missing in older entries. */
  readonly transfers?: readonly TransferLoad[];
  /** Ready upstreams that told the caller that they leave; missing in older entries. */
  readonly leaving?: readonly UpstreamIncarnation[];
  /** Demand for services with an engine at the caller; missing in older entries. */
  readonly demand?: readonly ServiceDemand[];
  /**
   * Slow upstreams among those that the caller polls on behalf of all entries; missing in entries
   * that poll none.
   */
  readonly slow?: readonly Slowness[];
  /** The paced upstreams that the caller knows; missing in older entries. */
  readonly paces?: readonly PaceReport[];
  /** Log index up to which the caller has received the state; 0 if it has none. */
  readonly since: number;
  /** Version of the caller's document; 0 if it has none. */
  readonly documentVersion: number;
  /**
   * Revision of the caller's list of entries; empty if it has none. The reply then holds a
   * `CompactBulletin`. Missing in earlier versions, which receive a `Bulletin`.
   */
  readonly entriesRevision?: string;
  /** Longest time for which the leader may hold the call to wait for a change. */
  readonly waitMs: Millis;
  /** Whether the caller reads `packedState` in the reply; missing in earlier versions. */
  readonly readsPackedState?: boolean;
}

/** The whole state of the fleet, which is the same for all callers that have none of it. */
export interface WholeState {
  readonly upstreams: readonly UpstreamRecord[];
  /** Fingerprints of requests that crash upstreams. */
  readonly quarantined: readonly string[];
}

/** A document, either whole or as the difference to the one that the caller has. */
export type DocumentUpdate =
  | { readonly kind: 'whole'; readonly version: number; readonly text: string }
  | { readonly kind: 'delta'; readonly version: number; readonly delta: unknown };

/** The leader's reply to a `WatchCall`: the changes since the index that the caller named. */
export type WatchReply =
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | {
      readonly kind: 'update';
      readonly index: number;
      /** Whether `upstreams` is the full list; the caller then drops the records of all others. */
      readonly whole: boolean;
      readonly upstreams: readonly UpstreamRecord[];
      /**
       * A compressed `WholeState`, in place of `upstreams` and `quarantined`; only where the caller
       * reads it and `whole` is set. The leader packs it once for all callers.
       */
      readonly packedState?: Uint8Array;
      /** A compressed `DocumentUpdate`; undefined if the caller has the newest document. */
      readonly document: Uint8Array | undefined;
      /**
       * Time for which the leader held the call; the reply confirms the state at the end of that
       * time. Missing in replies of earlier versions.
       */
      readonly heldMs?: Millis;
      /** Fingerprints of requests that crash upstreams. */
      readonly quarantined: readonly string[] | undefined;
      /** An encoded `Bulletin` or `CompactBulletin`, which the leader encodes once for all callers. */
      readonly bulletin: Uint8Array;
    };

/** A heartbeat that changes nothing of the record of its upstream. */
export type PlainHeartbeat = Pick<Announcement, 'id' | 'born' | 'sequence'>;

/** Forwards heartbeats that arrived shortly after one another to the leader. */
export interface HeartbeatsCall {
  readonly heartbeats: readonly PlainHeartbeat[];
}

/** The reply to a `HeartbeatsCall`. */
export type HeartbeatsReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined };

/** An upstream says that it has left. */
export interface Deregistration {
  readonly id: UpstreamId;
  /** Undefined where the upstream does not name its incarnation. */
  readonly born: number | undefined;
}

/** Forwards the heartbeat or the deregistration of an upstream to the leader. */
export interface BeatCall {
  /** For a deregistration, what a leader of an earlier version makes of it. */
  readonly announcement: Announcement;
  /** Missing in heartbeats, and in calls of earlier versions. */
  readonly deregistration?: Deregistration;
}

/** The reply to a `BeatCall`. */
export type BeatReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Submits a validated document to the leader. */
export interface SubmitCall {
  readonly version: number;
  readonly text: string;
}

/** The reply to a `SubmitCall`; `inForce` is the version in force. */
export type SubmitReply =
  | { readonly kind: 'accepted'; readonly inForce: number }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Asks the leader whether the entries have a committed version; held until they do. */
export interface AdoptionCall {
  readonly version: number;
}

/** The reply to an `AdoptionCall`. */
export type AdoptionReply =
  | { readonly kind: 'adopted' }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined };

/** Asks the leader for the newest document. */
export interface ReadCall {
  /** Version that the caller has. */
  readonly knownVersion: number;
}

/** The reply to a `ReadCall`; `text` is undefined if the caller has the newest version. */
export type ReadReply =
  | { readonly kind: 'document'; readonly version: number; readonly text: string | undefined }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** A node with a disk asks to become a voter, or to leave the voter set before it stops. */
export interface JoinCall {
  readonly node: NodeId;
  /** Whether the node is about to stop and asks to leave; missing in requests to join. */
  readonly leaving?: true;
}

/**
 * Whether a voter that asked to leave may stop: it has left, it stays a member as the others gain
 * nothing by its removal, or it has to ask again.
 */
export type LeaveState = 'left' | 'kept' | 'pending';

/** The leader and the voters, as the answering node knows them. */
export interface JoinReply {
  readonly leader: NodeId | undefined;
  readonly voters: readonly NodeId[];
  /** Answers a request to leave; missing in replies of nodes of an earlier version. */
  readonly leave?: LeaveState;
}

/** An upstream crashed while it ran a request. */
export interface UpstreamCrash {
  /** Fingerprint of the request; missing in reports of older entries. */
  readonly request?: string;
  /** Address of the upstream; missing in reports of older entries. */
  readonly address?: string;
  /** Whether its answer had begun; undefined, as for older entries, if it had not. */
  readonly hadBegun?: boolean;
  /** Shared parts of the prompt; empty where the answer had begun. */
  readonly parts: readonly string[];
  /** Those of them that the entry had seen answered since an upstream last crashed with them. */
  readonly answered: readonly string[];
  /** Time from the start of the attempt to the crash. */
  readonly attemptMs: Millis;
  /** Time since the crash. */
  readonly ageMs: Millis;
}

/** Reports what an entry observed of requests and parts of prompts that may crash upstreams. */
export interface CrashCall {
  readonly crash: UpstreamCrash | undefined;
  /** Suspected requests and parts to which an upstream has written an answer. */
  readonly answered: readonly string[];
  /** Times since these answers, in the same order; missing in reports of older entries: just now. */
  readonly answeredAgesMs?: readonly Millis[];
}

/** The reply to a `CrashCall`. */
export interface CrashReply {
  readonly kind: 'recorded' | 'not-leader' | 'unavailable';
}
