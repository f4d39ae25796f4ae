/** What the voters agree on: the document in force, upstreams, and requests that crash them. */

import type { UpstreamId } from '@tanagercart/base';
import { unreachable } from '@tanagercart/base';
import { applyDelta, deltaOf } from '@tanagercart/config';
import { decode, encode, packDocument } from '@tanagercart/protocol';
import type { DocumentUpdate, UpstreamRecord } from '@tanagercart/protocol';
import { decodeCommand, encodeOutcome } from './command.js';
import type { Command, Outcome } from './command.js';

/** A document as it was sent. */
export interface Document {
  /** 0 where none was accepted yet. */
  readonly version: number;
  readonly text: string;
}

/** Earlier documents that are kept to send others the difference. */
const documentsKept = 4;

/** Strikes after which a request is refused. */
export const strikesToQuarantine = 3;

interface Snapshot {
  readonly index: number;
  readonly document: Document;
  readonly upstreams: readonly UpstreamRecord[];
  readonly strikes: readonly (readonly [string, number])[];
}

/** What changed since an index. */
export interface Changes {
  /** The records are all that there are. */
  readonly whole: boolean;
  readonly upstreams: readonly UpstreamRecord[];
  readonly quarantined: readonly string[] | undefined;
}

const noDocument: Document = { version: 0, text: '' };

/** The state machine of the log. */
export class FleetState {
  /** Index of the last command that was applied. */
  index = 0;
  /** Called after each command that changed something. */
  onChange: (() => void) | undefined;
  private documents: Document[] = [noDocument];
  private records = new Map<UpstreamId, UpstreamRecord>();
  private changedAt = new Map<UpstreamId, number>();
  private strikes = new Map<string, number>();
  private quarantinedAt = 0;
  /** Updates to the newest document, by the version that they start from; 0 for the whole. */
  private readonly updates = new Map<number, Uint8Array>();
  /** Whoever knows the state up to an earlier index gets the whole of it. */
  private wholeBefore = 0;

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

  apply(index: number, bytes: Uint8Array): Uint8Array {
    const outcome = this.carryOut(index, decodeCommand(bytes));
    this.index = index;
    this.onChange?.();
    return encodeOutcome(outcome);
  }

  snapshot(): Uint8Array {
    const whole: Snapshot = {
      index: this.index,
      document: this.document,
      upstreams: [...this.records.values()],
      strikes: [...this.strikes],
    };
    return encode(whole);
  }

  restore(data: Uint8Array): void {
    const whole = decode<Snapshot>(data);
    this.index = whole.index;
    this.wholeBefore = whole.index;
    this.documents = [whole.document];
    this.updates.clear();
    this.records = new Map(whole.upstreams.map((r) => [r.id, r]));
    this.changedAt = new Map();
    this.strikes = new Map(whole.strikes);
    this.onChange?.();
  }

  /** What changed after `since`. */
  changesSince(since: number): Changes {
    const whole = since < this.wholeBefore || since === 0 || since > this.index;
    const records = [...this.records.values()];
    const upstreams = whole
      ? records
      : records.filter((r) => (this.changedAt.get(r.id) ?? 0) > since);
    const quarantined = whole || this.quarantinedAt > since ? this.quarantined : undefined;
    return { whole, upstreams, quarantined };
  }

  /** What brings a holder of `version` to the document in force; undefined where it has it. */
  documentUpdate(version: number): Uint8Array | undefined {
    const { document } = this;
    if (document.version === version || document.version === 0) return undefined;
    const base = this.documents.find((d) => d.version === version);
    const from = base?.version ?? 0;
    // Entries ask for the same update at the same time: it is put together once.
    const known = this.updates.get(from);
    if (known) return known;
    const update = packDocument(this.updateFrom(from === 0 ? undefined : base));
    this.updates.set(from, update);
    return update;
  }

  private updateFrom(base: Document | undefined): DocumentUpdate {
    const { document } = this;
    if (!base) return { kind: 'whole', ...document };
    const delta = deltaOf(base.text, document.text);
    return { kind: 'delta', version: document.version, delta };
  }

  private carryOut(index: number, command: Command): Outcome {
    switch (command.kind) {
      case 'document':
        return this.replaceDocument(command);
      case 'upstreams':
        for (const record of command.records) this.put(index, record);
        return { kind: 'done' };
      case 'forget':
        for (const id of command.upstreams) this.records.delete(id);
        this.wholeBefore = index;
        return { kind: 'done' };
      case 'strike':
        this.strike(index, command.fingerprint);
        return { kind: 'done' };
      case 'barrier':
        return { kind: 'done' };
      default:
        return unreachable(command);
    }
  }

  private replaceDocument(command: Command & { kind: 'document' }): Outcome {
    const { document } = this;
    if (command.version <= document.version) return { kind: 'older', inForce: document.version };
    const base = this.documents.find((d) => d.version === command.base);
    const text = base && applyDelta(base.text, command.delta);
    if (text === undefined) return { kind: 'base-differs' };
    this.documents.push({ version: command.version, text });
    this.updates.clear();
    if (this.documents.length > documentsKept) this.documents.shift();
    return { kind: 'done' };
  }

  private put(index: number, record: UpstreamRecord): void {
    const known = this.records.get(record.id);
    if (known && known.born > record.born) return;
    this.records.set(record.id, record);
    this.changedAt.set(record.id, index);
  }

  private strike(index: number, fingerprint: string): void {
    const count = (this.strikes.get(fingerprint) ?? 0) + 1;
    this.strikes.set(fingerprint, count);
    if (count >= strikesToQuarantine) this.quarantinedAt = index;
  }
}
