/** Opens the durable state of a node, where it has a disk. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import { DiskStore, FileDisk } from '@tanagercart/log';
import type { Disk } from '@tanagercart/log';
import type { Settings } from '@tanagercart/settings';

/** What is needed to open the durable state. */
export interface StorageOptions {
  readonly settings: Settings;
  /** Takes the place of the data folder. */
  readonly disk: Disk | undefined;
  readonly random: Random;
  readonly logger: Logger;
}

/** Opens the store of a voter; undefined where the node has no disk, the error names what is wrong. */
export async function openStore(o: StorageOptions): Promise<Result<DiskStore | undefined, string>> {
  const disk = await openDisk(o);
  if (disk.isErr()) return err(disk.error);
  if (!disk.value) return ok(undefined);
  const { random, logger } = o;
  const store = await DiskStore.open({ disk: disk.value, random, logger });
  return store.mapErr((e) => `data folder: ${e.detail}`);
}

async function openDisk({
  disk,
  settings,
}: StorageOptions): Promise<Result<Disk | undefined, string>> {
  if (disk) return ok(disk);
  const { id, data } = settings.node;
  if (data) {
    const opened = await FileDisk.create(data);
    return opened.mapErr((e) => `data folder: ${e.file}: ${e.detail}`);
  }
  if (!settings.voters.includes(id)) return ok(undefined);
  return err(`node.data: a voter needs a data folder, and ${id} is a voter`);
}
