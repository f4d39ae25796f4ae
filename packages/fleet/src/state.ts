/**
 * The state that the voters replicate: the document in force, the upstreams, and the requests that
 * crash upstreams.
 */

import type { UpstreamId } from '@tanagercart/base';
import { unreachable } from '@tanagercart/base';
import { applyDelta, deltaOf } from '@tanagercart/config';
import { compressDocument, compressState, decode, encode } from '@tanagercart/protocol';
import type { DocumentUpdate, UpstreamRecord } from '@tanagercart/protocol';
import { decodeCommand, encodeOutcome } from './command.js';
import type { Command, Outcome, UpstreamChange } from './command.js';
import { changedRecord } from './recordchange.js';

/** A configuration document as it was submitted. */
export interface Document {
  /** 0 if no document has been accepted yet. */
  readonly version: number;
  readonly text: string;
}

/** Documents to keep, with the one in force. A reader that holds one of them is sent a delta. */
const maxDocuments = 4;

/** Strikes after which a request is quarantined. */
export const strikesToQuarantine = 3;

interface Snapshot {
  readonly index: number;
  readonly document: Document;
  readonly upstreams: readonly UpstreamRecord[];
  readonly strikes: readonly (readonly [string, number])[];
}

/** Changes of the state after some index of the log. */
export interface StateChanges {
  /** Whether `upstreams` holds all records, and not only those that changed. */
  readonly whole: boolean;
  readonly upstreams: readonly UpstreamRecord[];
  /** Fingerprints of all quarantined requests; undefined if they have not changed. */
  readonly quarantined: readonly string[] | undefined;
}

/** The whole state as it is sent, and the index of the last change in it. */
interface PackedState {
  readonly index: number;
  readonly bytes: Uint8Array;
}

const emptyDocument: Document = { version: 0, text: '' };

/** The state machine that applies the commands of the log. */
export class FleetState {
  /** Index of the last applied command. */
  index = 0;
  /** Index of the last command that changed what readers receive. */
  changedIndex = 0;
  /** Called after each of these commands, and after a snapshot has been restored. */
  onChange: (() => void) | undefined;
  private documents: Document[] = [emptyDocument];
  private records = new Map<UpstreamId, UpstreamRecord>();
  /** Index of the log at which each record last changed. */
  private changedAt = new Map<UpstreamId, number>();
  private strikes = new Map<string, number>();
  /** Index of the log of the last strike that left a request quarantined. */
  private quarantinedAt = 0;
  /** Packed updates to the document in force, by their base version; 0 for the whole document. */
  private readonly updates = new Map<number, Uint8Array>();
  private packed: PackedState | undefined;
  /** A reader at an earlier index is sent the whole state, as older removals are not recorded. */
  private compacted = 0;

  static create(): FleetState {
    return new FleetState();
  }

  get document(): Document {
    return this.documents.at(-1)!;
  }

  get upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord> {
    return this.records;
  }

  /** Fingerprints of requests that crash upstreams. */
  get quarantined(): readonly string[] {
    const crashing = [...this.strikes].filter(([, count]) => count >= strikesToQuarantine);
    return crashing.map(([fingerprint]) => fingerprint);
  }

  isQuarantined(fingerprint: string): boolean {
    return (this.strikes.get(fingerprint) ?? 0) >= strikesToQuarantine;
  }

  /** Applies the encoded command at `index`; returns its encoded outcome. */
  apply(index: number, bytes: Uint8Array): Uint8Array {
    const outcome = this.execute(index, decodeCommand(bytes));
    this.index = index;
    if (this.changedIndex === index) this.onChange?.();
    return encodeOutcome(outcome);
  }

  /** Encodes the whole state. */
  snapshot(): Uint8Array {
    const snapshot: Snapshot = {
      index: this.index,
      document: this.document,
      upstreams: [...this.records.values()],
      strikes: [...this.strikes],
    };
    return encode(snapshot);
  }

  /** Replaces the state by an encoded snapshot. */
  restore(data: Uint8Array): void {
    const snapshot = decode<Snapshot>(data);
    this.index = snapshot.index;
    this.changedIndex = snapshot.index;
    this.compacted = snapshot.index;
    this.documents = [snapshot.document];
    this.updates.clear();
    this.packed = undefined;
    this.records = new Map(snapshot.upstreams.map((r) => [r.id, r]));
    this.changedAt = new Map();
    this.strikes = new Map(snapshot.strikes);
    this.onChange?.();
  }

  /** Whether a reader at the index `since` is sent the whole state, as the changes are not known. */
  isWholeFor(since: number): boolean {
    return since < this.compacted || since === 0 || since > this.index;
  }

  /** Returns the changes after the index `since`, or the whole state if they are not known. */
  changesSince(since: number): StateChanges {
    const whole = this.isWholeFor(since);
    const records = [...this.records.values()];
    const upstreams = whole
      ? records
      : records.filter((r) => (this.changedAt.get(r.id) ?? 0) > since);
    const quarantined = whole || this.quarantinedAt > since ? this.quarantined : undefined;
    return { whole, upstreams, quarantined };
  }

  /** The records and the quarantine, packed once for all readers that have none of it. */
  get packedState(): Uint8Array {
    const { quarantined, changedIndex: index } = this;
    if (this.packed?.index === index) return this.packed.bytes;
    const bytes = compressState({ upstreams: [...this.records.values()], quarantined });
    this.packed = { index, bytes };
    return bytes;
  }

  /**
   * Returns the packed update from `version` to the document in force; undefined if `version` is in
   * force, or no document is.
   */
  documentUpdate(version: number): Uint8Array | undefined {
    const { document } = this;
    if (document.version === version || document.version === 0) return undefined;
    const base = this.documents.find((d) => d.version === version);
    const from = base?.version ?? 0;
    // Entries ask for the same update at the same time, so it is packed only once.
    const cached = this.updates.get(from);
    if (cached) return cached;
    const update = compressDocument(this.updateFrom(from === 0 ? undefined : base));
    this.updates.set(from, update);
    return update;
  }

  private updateFrom(base: Document | undefined): DocumentUpdate {
    const { document } = this;
    if (!base) return { kind: 'whole', ...document };
    const delta = deltaOf(base.text, document.text);
    return { kind: 'delta', version: document.version, delta };
  }

  private execute(index: number, command: Command): Outcome {
    switch (command.kind) {
      case 'document':
        return this.replaceDocument(index, command);
      case 'upstreams':
        for (const record of command.records) this.putRecord(index, record);
        return { kind: 'done' };
      case 'forget':
        this.forget(index, command.upstreams);
        return { kind: 'done' };
      case 'strike':
        this.addStrike(index, command.fingerprint);
        return { kind: 'done' };
      case 'barrier':
        return { kind: 'done' };
      default:
        return unreachable(command);
    }
  }

  private replaceDocument(index: number, command: Command & { kind: 'document' }): Outcome {
    const { document } = this;
    if (command.version <= document.version) return { kind: 'older', inForce: document.version };
    const base = this.documents.find((d) => d.version === command.base);
    const text = base && applyDelta(base.text, command.delta);
    if (text === undefined) return { kind: 'base-differs' };
    this.documents.push({ version: command.version, text });
    this.updates.clear();
    this.changedIndex = index;
    if (this.documents.length > maxDocuments) this.documents.shift();
    return { kind: 'done' };
  }

  private putRecord(index: number, change: UpstreamChange): void {
    const record = changedRecord(this.records.get(change.id), change);
    if (!record) return;
    this.records.set(record.id, record);
    this.changedAt.set(record.id, index);
    this.changedIndex = index;
  }

  private forget(index: number, ids: readonly UpstreamId[]): void {
    const gone = ids.filter((id) => this.records.get(id)?.phase === 'gone');
    if (gone.length === 0) return;
    for (const id of gone) this.records.delete(id);
    this.compacted = index;
    this.changedIndex = index;
  }

  private addStrike(index: number, fingerprint: string): void {
    const count = (this.strikes.get(fingerprint) ?? 0) + 1;
    this.strikes.set(fingerprint, count);
    if (count < strikesToQuarantine) return;
    this.quarantinedAt = index;
    this.changedIndex = index;
  }
}
