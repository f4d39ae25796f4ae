/** A store in files: segments that are only ever appended to, and snapshots written whole. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import type { LogEntry } from '@tanagercart/protocol';
import type { Disk, DiskError } from './disk.js';
import { nameOf } from './diskname.js';
import type { Entries } from './entries.js';
import { encodeRecord, fileHeader } from './record.js';
import { storeError, writeRecordFile } from './recordfile.js';
import { loadFolder, segmentName, snapshotName } from './recovery.js';
import type { LogRecord, Segment } from './recovery.js';
import type { HardState, Snapshot, Store, StoreError } from './store.js';

/** A segment is followed by the next one at this size, in bytes. */
const defaultSegmentBytes = 4 * 1024 * 1024;

/** What a store needs. */
export interface DiskStoreOptions {
  readonly disk: Disk;
  readonly random: Random;
  readonly logger: Logger;
  readonly segmentBytes?: number;
}

/** The files of one voter. Once a write has failed, every later one fails too. */
export class DiskStore implements Store {
  private broken: StoreError | undefined;
  private segmentCount = 0;
  private name = '';

  private constructor(
    private readonly o: DiskStoreOptions,
    private readonly entries: Entries,
    private segments: Segment[],
    private state: HardState,
    private kept: Snapshot | undefined,
  ) {
    this.segmentCount = segments.at(-1)?.number ?? 0;
  }

  /** Reads the folder; a new name is drawn for an empty one. */
  static async open(options: DiskStoreOptions): Promise<Result<DiskStore, StoreError>> {
    const loaded = await loadFolder(options.disk, options.logger);
    if (loaded.isErr()) return err(loaded.error);
    const { entries, segments, hard, snapshot, reset } = loaded.value;
    const store = new DiskStore(options, entries, segments, hard, snapshot);
    const started = await store.start(reset);
    if (started.isErr()) return err(started.error);
    const name = await nameOf(options.disk, options.random, options.logger);
    if (name.isErr()) return err(name.error);
    store.name = name.value;
    return ok(store);
  }

  get diskId(): string {
    return this.name;
  }

  get hardState(): HardState {
    return this.state;
  }

  get snapshot(): Snapshot | undefined {
    return this.kept;
  }

  get firstIndex(): number {
    return this.entries.first;
  }

  get lastIndex(): number {
    return this.entries.last;
  }

  get entryBytes(): number {
    return this.entries.bytes;
  }

  termAt(index: number): number | undefined {
    return this.entries.termAt(index);
  }

  bytesFrom(from: number): number {
    return this.entries.bytesFrom(from);
  }

  slice(from: number, limit: number, bytes: number): readonly LogEntry[] {
    return this.entries.slice(from, limit, bytes);
  }

  async saveVote(hard: HardState): Promise<Result<void, StoreError>> {
    const saved = await this.write([{ kind: 'hard', hard }], 0);
    if (saved.isOk()) this.state = hard;
    return saved;
  }

  async append(entries: readonly LogEntry[]): Promise<Result<void, StoreError>> {
    const last = entries.at(-1);
    if (!last) return ok(undefined);
    const records = entries.map((entry): LogRecord => ({ kind: 'entry', entry }));
    const saved = await this.write(records, last.index);
    if (saved.isOk()) this.entries.append(entries);
    return saved;
  }

  async saveSnapshot(snapshot: Snapshot, keepFrom: number): Promise<Result<void, StoreError>> {
    const saved = await this.guard(async () =>
      writeRecordFile(this.o.disk, snapshotName(snapshot.index), snapshot),
    );
    if (saved.isErr()) return saved;
    const before = this.kept;
    this.kept = snapshot;
    const matches = this.termAt(snapshot.index) === snapshot.term;
    const index = matches ? Math.min(keepFrom - 1, snapshot.index) : snapshot.index;
    if (matches && index < this.firstIndex) return ok(undefined);
    const term = matches ? this.termAt(index)! : snapshot.term;
    this.entries.rebase(index, term);
    const marked = await this.write([{ kind: 'base', index, term }], this.lastIndex);
    if (marked.isErr()) return marked;
    return this.guard(() => this.removeOld(before));
  }

  private async start(reset: boolean): Promise<Result<void, StoreError>> {
    if (this.segments.length === 0) return this.guard(() => this.roll());
    if (!reset || !this.kept) return ok(undefined);
    const { index, term } = this.kept;
    return this.write([{ kind: 'base', index, term }], this.lastIndex);
  }

  /** Writes records with one sync. */
  private write(
    records: readonly LogRecord[],
    lastIndex: number,
  ): Promise<Result<void, StoreError>> {
    return this.guard(async () => {
      if (this.segments.at(-1)!.bytes >= (this.o.segmentBytes ?? defaultSegmentBytes)) {
        const rolled = await this.roll();
        if (rolled.isErr()) return rolled;
      }
      const segment = this.segments.at(-1)!;
      const bytes = Buffer.concat(records.map((r) => encodeRecord(encode(r))));
      const file = segmentName(segment.number);
      const { disk } = this.o;
      const done = await disk.write(file, segment.bytes, bytes).andThen(() => disk.sync(file));
      if (done.isErr()) return done;
      segment.bytes += bytes.length;
      segment.lastIndex = Math.max(segment.lastIndex, lastIndex);
      return done;
    });
  }

  /** Starts a segment, which repeats what must be known when the earlier ones are removed. */
  private async roll(): Promise<Result<void, DiskError>> {
    const head: LogRecord = { kind: 'head', hard: this.state };
    const bytes = Buffer.concat([fileHeader(), encodeRecord(encode(head))]);
    this.segmentCount += 1;
    const file = segmentName(this.segmentCount);
    const made = await this.writeNew(file, bytes);
    if (made.isErr()) return made;
    this.segments.push({ number: this.segmentCount, bytes: bytes.length, lastIndex: 0 });
    return made;
  }

  private writeNew(file: string, bytes: Uint8Array) {
    const { disk } = this.o;
    return disk
      .write(file, 0, bytes)
      .andThen(() => disk.sync(file))
      .andThen(() => disk.syncFolder());
  }

  /** Removes the earlier snapshot, and segments from the oldest on that hold nothing later. */
  private async removeOld(before: Snapshot | undefined): Promise<Result<void, DiskError>> {
    const { disk } = this.o;
    const index = this.firstIndex - 1;
    if (before && before.index !== this.kept!.index) {
      const removed = await disk.remove(snapshotName(before.index));
      if (removed.isErr()) return removed;
    }
    while (this.segments.length > 1 && this.segments[0]!.lastIndex <= index) {
      const removed = await disk.remove(segmentName(this.segments[0]!.number));
      if (removed.isErr()) return removed;
      this.segments.shift();
    }
    return disk.syncFolder();
  }

  private async guard(
    step: () => Promise<Result<void, DiskError>>,
  ): Promise<Result<void, StoreError>> {
    if (this.broken) return err(this.broken);
    const done = await step();
    if (done.isOk()) return ok(undefined);
    this.broken = storeError(done.error);
    return err(this.broken);
  }
}
