/** The folder in which a voter keeps its files, behind an interface that a test can hold. */

import { mkdir, open, readFile, readdir, rename, rm, stat, truncate } from 'node:fs/promises';
import { join } from 'node:path';
import { ResultAsync } from 'neverthrow';

/** Why the disk could not do what was asked. */
export interface DiskError {
  readonly file: string;
  readonly detail: string;
}

/** One flat folder. A change survives a crash only after the file, or the folder, is synced. */
export interface Disk {
  /** Names of all files. */
  list(): ResultAsync<readonly string[], DiskError>;
  /** The whole content of a file. */
  read(file: string): ResultAsync<Uint8Array, DiskError>;
  /** Writes at `offset`, creating the file where there is none. */
  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError>;
  truncate(file: string, bytes: number): ResultAsync<void, DiskError>;
  /** Makes the content of a file durable. */
  sync(file: string): ResultAsync<void, DiskError>;
  rename(from: string, to: string): ResultAsync<void, DiskError>;
  remove(file: string): ResultAsync<void, DiskError>;
  /** Makes created, renamed and removed names durable. */
  syncFolder(): ResultAsync<void, DiskError>;
  /** Tells a file from any copy of it, also from one that was put in its place. */
  fingerprint(file: string): ResultAsync<string, DiskError>;
}

/** A folder of the machine. */
export class FileDisk implements Disk {
  private constructor(private readonly folder: string) {}

  /** Opens a folder, creating it where there is none. */
  static create(folder: string): ResultAsync<FileDisk, DiskError> {
    const made = mkdir(folder, { recursive: true });
    return attempt(folder, made).map(() => new FileDisk(folder));
  }

  list(): ResultAsync<readonly string[], DiskError> {
    return attempt(this.folder, readdir(this.folder));
  }

  read(file: string): ResultAsync<Uint8Array, DiskError> {
    return attempt(this.path(file), readFile(this.path(file)));
  }

  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError> {
    return attempt(this.path(file), writeAt(this.path(file), offset, bytes));
  }

  truncate(file: string, bytes: number): ResultAsync<void, DiskError> {
    return attempt(this.path(file), truncate(this.path(file), bytes));
  }

  sync(file: string): ResultAsync<void, DiskError> {
    return attempt(this.path(file), syncPath(this.path(file), 'r+'));
  }

  rename(from: string, to: string): ResultAsync<void, DiskError> {
    return attempt(this.path(from), rename(this.path(from), this.path(to)));
  }

  remove(file: string): ResultAsync<void, DiskError> {
    return attempt(this.path(file), rm(this.path(file), { force: true }));
  }

  syncFolder(): ResultAsync<void, DiskError> {
    return attempt(this.folder, syncPath(this.folder, 'r'));
  }

  fingerprint(file: string): ResultAsync<string, DiskError> {
    const found = stat(this.path(file), { bigint: true });
    return attempt(this.path(file), found).map((s) => `${s.ino}-${s.birthtimeNs}`);
  }

  private path(file: string): string {
    return join(this.folder, file);
  }
}

function attempt<T>(file: string, run: Promise<T>): ResultAsync<T, DiskError> {
  return ResultAsync.fromPromise(run, (e) => ({ file, detail: (e as Error).message }));
}

async function writeAt(path: string, offset: number, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, offset === 0 ? 'w' : 'r+');
  try {
    let written = 0;
    while (written < bytes.length) {
      const rest = bytes.length - written;
      written += (await handle.write(bytes, written, rest, offset + written)).bytesWritten;
    }
  } finally {
    await handle.close();
  }
}

async function syncPath(path: string, flags: string): Promise<void> {
  const handle = await open(path, flags);
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
