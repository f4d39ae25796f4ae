/** A simulated disk in memory with fault injection, for demos, tests and benchmarks. */

import { ResultAsync, err, errAsync, ok, okAsync } from 'neverthrow';
import type { Clock, Millis, Random } from '@tanagercart/base';
import type { Disk, DiskError } from './disk.js';

interface MemoryFile {
  content: Buffer;
  /** The content at the last sync, which survives a power failure. */
  synced: Buffer;
  readonly fingerprint: string;
}

/** State that survives a power failure. */
interface Storage {
  /** The files whose names have been synced. */
  durable: Map<string, MemoryFile>;
  createdFiles: number;
}

/** A copy of the synced content of a disk, by file name. */
export type Backup = ReadonlyMap<string, Uint8Array>;

/** Fault of a simulated disk: none, no space left, or input/output errors. */
export type DiskFault = 'none' | 'full' | 'failing';

/** A simulated disk. `crash` and `restore` return the disk as the next process sees it. */
export class MemoryDisk implements Disk {
  /** Fault with which writes fail from now on; `failing` applies to syncs, too. */
  fault: DiskFault = 'none';
  /** Bytes of a file that a full disk still takes before a write fails. */
  roomBytes = 0;
  /** Number of file syncs so far. */
  syncCount = 0;
  /** Number of bytes written so far. */
  writtenBytes = 0;
  private files: Map<string, MemoryFile>;
  /** Set once `crash` or `restore` has returned a new disk; changes through this one then fail. */
  private detached = false;

  private constructor(
    private readonly storage: Storage,
    private readonly clock: Clock | undefined,
    private readonly syncMs: Millis,
  ) {
    this.files = new Map(storage.durable);
  }

  /** Creates an empty disk. With a clock, each sync takes `syncMs`. */
  static create(clock?: Clock, syncMs: Millis = 0): MemoryDisk {
    return new MemoryDisk({ durable: new Map(), createdFiles: 0 }, clock, syncMs);
  }

  list(): ResultAsync<readonly string[], DiskError> {
    return okAsync([...this.files.keys()]);
  }

  read(file: string): ResultAsync<Uint8Array, DiskError> {
    return this.find(file).map((f) => Buffer.from(f.content));
  }

  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError> {
    const isFull = this.fault === 'full';
    const taken = isFull ? bytes.subarray(0, this.roomBytes) : bytes;
    const problem = this.faultDetail();
    if (problem) return errAsync({ file, detail: problem });
    // A file is created, or the end of an earlier one cut off, before a write to it fails.
    const found = this.files.get(file) ?? this.createFile(Buffer.alloc(0));
    found.content = Buffer.concat([found.content.subarray(0, offset), taken]);
    this.files.set(file, found);
    this.writtenBytes += taken.length;
    return isFull ? errAsync({ file, detail: 'no space left' }) : okAsync(undefined);
  }

  truncate(file: string, bytes: number): ResultAsync<void, DiskError> {
    return this.find(file).andThen((f) =>
      this.modify(file, () => {
        f.content = f.content.subarray(0, bytes);
      }),
    );
  }

  sync(file: string): ResultAsync<void, DiskError> {
    return this.find(file).andThen((f) => this.syncAfterDelay(file, f));
  }

  rename(from: string, to: string): ResultAsync<void, DiskError> {
    return this.find(from).andThen((f) =>
      this.modify(from, () => {
        this.files.delete(from);
        this.files.set(to, f);
      }),
    );
  }

  remove(file: string): ResultAsync<void, DiskError> {
    return this.modify(file, () => {
      this.files.delete(file);
    });
  }

  syncFolder(): ResultAsync<void, DiskError> {
    return this.modify('', () => {
      this.storage.durable = new Map(this.files);
    });
  }

  fileIdentity(file: string): ResultAsync<string, DiskError> {
    return this.find(file).map((f) => f.fingerprint);
  }

  /**
   * Simulates a power failure and returns the disk as the next process sees it. Changes that were
   * not synced are lost, except for a random part of the bytes appended to a file. Changes through
   * this object fail from now on.
   */
  crash(random: Random): MemoryDisk {
    this.detached = true;
    for (const file of this.storage.durable.values()) {
      const kept = tornWriteLength(file, random);
      file.content = kept > 0 ? Buffer.from(file.content.subarray(0, kept)) : file.synced;
      file.synced = file.content;
    }
    return new MemoryDisk(this.storage, this.clock, this.syncMs);
  }

  /** Copies the synced content, for a later `restore`. */
  backup(): Backup {
    return new Map([...this.storage.durable].map(([n, f]) => [n, Buffer.from(f.synced)]));
  }

  /** Replaces the content by a copy and returns the disk as the next process sees it. */
  restore(copy: Backup): MemoryDisk {
    this.detached = true;
    const files = [...copy].map(([n, b]): [string, MemoryFile] => [
      n,
      this.createFile(Buffer.from(b)),
    ]);
    this.storage.durable = new Map(files);
    return new MemoryDisk(this.storage, this.clock, this.syncMs);
  }

  /** Changes one byte of a file, as silent disk corruption does. */
  corruptByte(file: string, offset: number): void {
    const found = this.files.get(file);
    if (!found || offset >= found.content.length) return;
    found.content = Buffer.from(found.content);
    found.content[offset] = 255 - found.content[offset]!;
    found.synced = found.content;
  }

  /** Truncates a file to `bytes`, as a power failure during a write does. */
  tearWrite(file: string, bytes: number): void {
    const found = this.files.get(file);
    if (!found) return;
    found.content = found.content.subarray(0, bytes);
    found.synced = found.content;
  }

  private find(file: string): ResultAsync<MemoryFile, DiskError> {
    const found = this.files.get(file);
    return found ? okAsync(found) : errAsync({ file, detail: 'no such file' });
  }

  private syncAfterDelay(file: string, found: MemoryFile): ResultAsync<void, DiskError> {
    const { content } = found;
    const clock = this.syncMs > 0 ? this.clock : undefined;
    const waited = clock?.sleep(this.syncMs) ?? Promise.resolve();
    return ResultAsync.fromSafePromise(waited).andThen(() => {
      const problem = this.faultDetail();
      if (problem) return err({ file, detail: problem });
      found.synced = content;
      this.syncCount += 1;
      return ok(undefined);
    });
  }

  private modify(file: string, step: () => void): ResultAsync<void, DiskError> {
    const problem = this.fault === 'full' ? 'no space left' : this.faultDetail();
    if (problem) return errAsync({ file, detail: problem });
    step();
    return okAsync(undefined);
  }

  private faultDetail(): string | undefined {
    if (this.detached) return 'the disk is detached';
    return this.fault === 'failing' ? 'input/output error' : undefined;
  }

  private createFile(bytes: Buffer): MemoryFile {
    this.storage.createdFiles += 1;
    return { content: bytes, synced: bytes, fingerprint: String(this.storage.createdFiles) };
  }
}

/** Length of a file after a power failure during an append; 0 if nothing was appended. */
function tornWriteLength(file: MemoryFile, random: Random): number {
  const { content, synced } = file;
  if (content.length <= synced.length) return 0;
  return synced.length + Math.floor((content.length - synced.length) * random.next());
}
