/** A store in files: append-only log segments, and snapshots that are replaced atomically. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import type { LogEntry } from '@tanagercart/protocol';
import type { Disk, DiskError } from './disk.js';
import { loadDiskId } from './diskid.js';
import type { Entries } from './entries.js';
import { encodeRecord, fileHeader } from './record.js';
import { storeError, writeRecordFile } from './recordfile.js';
import { loadFolder, segmentName, snapshotName } from './recovery.js';
import type { LogRecord, Segment } from './recovery.js';
import type { HardState, Snapshot, Store, StoreError } from './store.js';

/** Size in bytes from which a new segment is started. */
const defaultSegmentBytes = 4 * 1024 * 1024;

/** Options of `DiskStore.open`. */
export interface DiskStoreOptions {
  readonly disk: Disk;
  readonly random: Random;
  readonly logger: Logger;
  readonly segmentBytes?: number;
}

/** The files of one node. Once a write has failed, all later ones fail too. */
export class DiskStore implements Store {
  private writeError: StoreError | undefined;
  private lastSegment = 0;
  private id = '';

  private constructor(
    private readonly o: DiskStoreOptions,
    private readonly entries: Entries,
    private segments: Segment[],
    private savedState: HardState,
    private lastSnapshot: Snapshot | undefined,
  ) {
    this.lastSegment = segments.at(-1)?.number ?? 0;
  }

  /** Reads the folder and creates its files if it is empty. Fails if the log is damaged. */
  static async open(options: DiskStoreOptions): Promise<Result<DiskStore, StoreError>> {
    const loaded = await loadFolder(options.disk, options.logger);
    if (loaded.isErr()) return err(loaded.error);
    const { entries, segments, hardState, snapshot, logReplaced } = loaded.value;
    const store = new DiskStore(options, entries, segments, hardState, snapshot);
    const initialized = await store.initialize(logReplaced);
    if (initialized.isErr()) return err(initialized.error);
    const id = await loadDiskId(options.disk, options.random, options.logger);
    if (id.isErr()) return err(id.error);
    store.id = id.value;
    return ok(store);
  }

  get diskId(): string {
    return this.id;
  }

  get hardState(): HardState {
    return this.savedState;
  }

  get snapshot(): Snapshot | undefined {
    return this.lastSnapshot;
  }

  get firstIndex(): number {
    return this.entries.firstIndex;
  }

  get lastIndex(): number {
    return this.entries.lastIndex;
  }

  get totalBytes(): number {
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

  async saveTerm(hardState: HardState): Promise<Result<void, StoreError>> {
    const saved = await this.write([{ kind: 'hard', hard: hardState }], 0);
    if (saved.isOk()) this.savedState = hardState;
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
    const saved = await this.tryWrite(async () =>
      writeRecordFile(this.o.disk, snapshotName(snapshot.index), snapshot),
    );
    if (saved.isErr()) return saved;
    const previousSnapshot = this.lastSnapshot;
    this.lastSnapshot = snapshot;
    const matches = this.termAt(snapshot.index) === snapshot.term;
    const index = matches ? Math.min(keepFrom - 1, snapshot.index) : snapshot.index;
    if (matches && index < this.firstIndex) return ok(undefined);
    const term = matches ? this.termAt(index)! : snapshot.term;
    this.entries.resetBase(index, term);
    const baseSaved = await this.write([{ kind: 'base', index, term }], this.lastIndex);
    if (baseSaved.isErr()) return baseSaved;
    return this.tryWrite(() => this.removeObsolete(previousSnapshot));
  }

  /** Creates the first segment, or records that the snapshot has replaced the log. */
  private async initialize(logReplaced: boolean): Promise<Result<void, StoreError>> {
    if (this.segments.length === 0) return this.tryWrite(() => this.rollSegment());
    if (!logReplaced || !this.lastSnapshot) return ok(undefined);
    const { index, term } = this.lastSnapshot;
    return this.write([{ kind: 'base', index, term }], this.lastIndex);
  }

  /**
   * Appends records with one sync. The segment is kept at least until the log starts after
   * `lastIndex`, which is 0 for a hard state.
   */
  private write(
    records: readonly LogRecord[],
    lastIndex: number,
  ): Promise<Result<void, StoreError>> {
    return this.tryWrite(async () => {
      if (this.segments.at(-1)!.bytes >= (this.o.segmentBytes ?? defaultSegmentBytes)) {
        const rolled = await this.rollSegment();
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

  /** Starts a new segment; it repeats the hard state, as earlier segments may be removed. */
  private async rollSegment(): Promise<Result<void, DiskError>> {
    const head: LogRecord = { kind: 'head', hard: this.savedState };
    const bytes = Buffer.concat([fileHeader(), encodeRecord(encode(head))]);
    this.lastSegment += 1;
    const file = segmentName(this.lastSegment);
    const created = await this.createFile(file, bytes);
    if (created.isErr()) return created;
    this.segments.push({ number: this.lastSegment, bytes: bytes.length, lastIndex: 0 });
    return created;
  }

  private createFile(file: string, bytes: Uint8Array) {
    const { disk } = this.o;
    return disk
      .write(file, 0, bytes)
      .andThen(() => disk.sync(file))
      .andThen(() => disk.syncFolder());
  }

  /** Removes the previous snapshot and the oldest segments that contain no kept entry. */
  private async removeObsolete(previous: Snapshot | undefined): Promise<Result<void, DiskError>> {
    const { disk } = this.o;
    const index = this.firstIndex - 1;
    if (previous && previous.index !== this.lastSnapshot!.index) {
      const removed = await disk.remove(snapshotName(previous.index));
      if (removed.isErr()) return removed;
    }
    while (this.segments.length > 1 && this.segments[0]!.lastIndex <= index) {
      const removed = await disk.remove(segmentName(this.segments[0]!.number));
      if (removed.isErr()) return removed;
      this.segments.shift();
    }
    return disk.syncFolder();
  }

  /** Runs a step that writes; once one has failed, returns its error without running any other. */
  private async tryWrite(
    step: () => Promise<Result<void, DiskError>>,
  ): Promise<Result<void, StoreError>> {
    if (this.writeError) return err(this.writeError);
    const done = await step();
    if (done.isOk()) return ok(undefined);
    this.writeError = storeError(done.error);
    return err(this.writeError);
  }
}
