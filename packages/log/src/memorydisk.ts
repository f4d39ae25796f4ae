/** A disk in memory, for demos and for tests of what disks do wrong. */

import { ResultAsync, err, errAsync, ok, okAsync } from 'neverthrow';
import type { Clock, Millis, Random } from '@tanagercart/base';
import type { Disk, DiskError } from './disk.js';

interface File {
  content: Buffer;
  synced: Buffer;
  readonly fingerprint: string;
}

/** What stays when the process dies. */
interface Medium {
  durable: Map<string, File>;
  created: number;
}

/** A copy of what a disk held durably. */
export type Backup = ReadonlyMap<string, Uint8Array>;

/** What a disk in memory does wrong. */
export type DiskFault = 'none' | 'full' | 'failing';

/** Forgets with its process; `crash` loses what was not synced. */
export class MemoryDisk implements Disk {
  /** The fault that every write meets from now on. */
  fault: DiskFault = 'none';
  /** Syncs of files so far. */
  syncCount = 0;
  /** Bytes written so far. */
  writtenBytes = 0;
  private names: Map<string, File>;
  private dead = false;

  private constructor(
    private readonly medium: Medium,
    private readonly clock: Clock | undefined,
    private readonly syncMs: Millis,
  ) {
    this.names = new Map(medium.durable);
  }

  /** With a clock, each sync takes `syncMs`. */
  static create(clock?: Clock, syncMs: Millis = 0): MemoryDisk {
    return new MemoryDisk({ durable: new Map(), created: 0 }, clock, syncMs);
  }

  list(): ResultAsync<readonly string[], DiskError> {
    return okAsync([...this.names.keys()]);
  }

  read(file: string): ResultAsync<Uint8Array, DiskError> {
    return this.find(file).map((f) => Buffer.from(f.content));
  }

  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError> {
    return this.change(file, () => {
      const held = this.names.get(file) ?? this.newFile(Buffer.alloc(0));
      held.content = Buffer.concat([held.content.subarray(0, offset), bytes]);
      this.names.set(file, held);
      this.writtenBytes += bytes.length;
    });
  }

  truncate(file: string, bytes: number): ResultAsync<void, DiskError> {
    return this.find(file).andThen((f) =>
      this.change(file, () => {
        f.content = f.content.subarray(0, bytes);
      }),
    );
  }

  sync(file: string): ResultAsync<void, DiskError> {
    return this.find(file).andThen((f) => this.syncSlowly(file, f));
  }

  rename(from: string, to: string): ResultAsync<void, DiskError> {
    return this.find(from).andThen((f) =>
      this.change(from, () => {
        this.names.delete(from);
        this.names.set(to, f);
      }),
    );
  }

  remove(file: string): ResultAsync<void, DiskError> {
    return this.change(file, () => {
      this.names.delete(file);
    });
  }

  syncFolder(): ResultAsync<void, DiskError> {
    return this.change('', () => {
      this.medium.durable = new Map(this.names);
    });
  }

  fingerprint(file: string): ResultAsync<string, DiskError> {
    return this.find(file).map((f) => f.fingerprint);
  }

  /**
   * The disk as the next process finds it: without what was not synced, except for a random part of
   * the bytes that were appended. This one fails from now on.
   */
  crash(random: Random): MemoryDisk {
    this.dead = true;
    for (const file of this.medium.durable.values()) {
      const kept = tornLength(file, random);
      file.content = kept > 0 ? Buffer.from(file.content.subarray(0, kept)) : file.synced;
      file.synced = file.content;
    }
    return new MemoryDisk(this.medium, this.clock, this.syncMs);
  }

  /** A copy of what is durable now, to be put back later by `restore`. */
  backup(): Backup {
    return new Map([...this.medium.durable].map(([n, f]) => [n, Buffer.from(f.synced)]));
  }

  /** The disk as the next process finds it after a copy was put in its place, or none. */
  restore(copy: Backup): MemoryDisk {
    this.dead = true;
    const files = [...copy].map(([n, b]): [string, File] => [n, this.newFile(Buffer.from(b))]);
    this.medium.durable = new Map(files);
    return new MemoryDisk(this.medium, this.clock, this.syncMs);
  }

  /** Changes one byte of a file, as a decaying disk does. */
  corruptByte(file: string, offset: number): void {
    const held = this.names.get(file);
    if (!held || offset >= held.content.length) return;
    held.content = Buffer.from(held.content);
    held.content[offset] = 255 - held.content[offset]!;
    held.synced = held.content;
  }

  /** Cuts a file short, as a write that a crash interrupted does. */
  tearWrite(file: string, bytes: number): void {
    const held = this.names.get(file);
    if (!held) return;
    held.content = held.content.subarray(0, bytes);
    held.synced = held.content;
  }

  private find(file: string): ResultAsync<File, DiskError> {
    const held = this.names.get(file);
    return held ? okAsync(held) : errAsync({ file, detail: 'no such file' });
  }

  private syncSlowly(file: string, held: File): ResultAsync<void, DiskError> {
    const { content } = held;
    const slow = this.syncMs > 0 ? this.clock : undefined;
    const waited = slow?.sleep(this.syncMs) ?? Promise.resolve();
    return ResultAsync.fromSafePromise(waited).andThen(() => {
      const problem = this.problem();
      if (problem) return err({ file, detail: problem });
      held.synced = content;
      this.syncCount += 1;
      return ok(undefined);
    });
  }

  private change(file: string, step: () => void): ResultAsync<void, DiskError> {
    const problem = this.fault === 'full' ? 'no space left' : this.problem();
    if (problem) return errAsync({ file, detail: problem });
    step();
    return okAsync(undefined);
  }

  private problem(): string | undefined {
    if (this.dead) return 'the process died';
    return this.fault === 'failing' ? 'input/output error' : undefined;
  }

  private newFile(bytes: Buffer): File {
    this.medium.created += 1;
    return { content: bytes, synced: bytes, fingerprint: String(this.medium.created) };
  }
}

function tornLength(file: File, random: Random): number {
  const { content, synced } = file;
  if (content.length <= synced.length) return 0;
  return synced.length + Math.floor((content.length - synced.length) * random.next());
}
