/** The folder in which a node keeps its files, behind an interface that tests can implement. */

import { mkdir, open, readFile, readdir, rename, rm, stat, truncate } from 'node:fs/promises';
import { join } from 'node:path';
import { ResultAsync } from 'neverthrow';

/** Why an operation on `file` failed. */
export interface DiskError {
  readonly file: string;
  readonly detail: string;
}

/**
 * A flat folder. A change survives a power failure or a crash of the operating system only once the
 * file or the folder is synced.
 */
export interface Disk {
  /** Lists the names of all files. */
  list(): ResultAsync<readonly string[], DiskError>;
  /** Reads the whole content of a file. */
  read(file: string): ResultAsync<Uint8Array, DiskError>;
  /** Writes at `offset`. At offset 0 the file is created or replaced. */
  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError>;
  /** Truncates a file to its first `bytes` bytes. */
  truncate(file: string, bytes: number): ResultAsync<void, DiskError>;
  /** Makes the content of a file durable. */
  sync(file: string): ResultAsync<void, DiskError>;
  rename(from: string, to: string): ResultAsync<void, DiskError>;
  remove(file: string): ResultAsync<void, DiskError>;
  /** Makes the creation, renaming and removal of files durable. */
  syncFolder(): ResultAsync<void, DiskError>;
  /**
   * Identifies a file by its inode and its time of creation. A copy has another identity, even if
   * it has replaced the original.
   */
  fileIdentity(file: string): ResultAsync<string, DiskError>;
}

/** A folder in the file system. */
export class FileDisk implements Disk {
  private constructor(private readonly folder: string) {}

  /** Opens a folder and creates it if it does not exist. */
  static create(folder: string): ResultAsync<FileDisk, DiskError> {
    const made = mkdir(folder, { recursive: true });
    return toResult(folder, made).map(() => new FileDisk(folder));
  }

  list(): ResultAsync<readonly string[], DiskError> {
    return toResult(this.folder, readdir(this.folder));
  }

  read(file: string): ResultAsync<Uint8Array, DiskError> {
    return toResult(this.path(file), readFile(this.path(file)));
  }

  write(file: string, offset: number, bytes: Uint8Array): ResultAsync<void, DiskError> {
    return toResult(this.path(file), writeAt(this.path(file), offset, bytes));
  }

  truncate(file: string, bytes: number): ResultAsync<void, DiskError> {
    return toResult(this.path(file), truncate(this.path(file), bytes));
  }

  sync(file: string): ResultAsync<void, DiskError> {
    return toResult(this.path(file), syncPath(this.path(file), 'r+'));
  }

  rename(from: string, to: string): ResultAsync<void, DiskError> {
    return toResult(this.path(from), rename(this.path(from), this.path(to)));
  }

  remove(file: string): ResultAsync<void, DiskError> {
    return toResult(this.path(file), rm(this.path(file), { force: true }));
  }

  syncFolder(): ResultAsync<void, DiskError> {
    return toResult(this.folder, syncPath(this.folder, 'r'));
  }

  fileIdentity(file: string): ResultAsync<string, DiskError> {
    const found = stat(this.path(file), { bigint: true });
    return toResult(this.path(file), found).map((s) => `${s.ino}-${s.birthtimeNs}`);
  }

  private path(file: string): string {
    return join(this.folder, file);
  }
}

function toResult<T>(file: string, run: Promise<T>): ResultAsync<T, DiskError> {
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
