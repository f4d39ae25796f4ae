/** `tanagercart restore`: restores the log from a single data folder. */

import { Command, Option } from 'clipanion';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { BunyanLogger, systemRandom } from '@tanagercart/base';
import { DiskStore, FileDisk, forceSingleVoter } from '@tanagercart/log';
import type { RestoreResult } from '@tanagercart/log';
import type { Settings } from '@tanagercart/settings';
import { failure, success } from './exit.js';
import { readSettings } from './files.js';

/** Makes a stopped node the only voter, with the log in its data folder. */
export class RestoreCommand extends Command {
  static override paths = [['restore']];

  static override usage = Command.Usage({
    description: 'Make a stopped node the only voter, when too few voters are left for a quorum',
    details:
      'Every other voter must be stopped, and may only be started again with an empty data folder. Entries that they acknowledged and that this folder lacks are lost.',
    examples: [['Restore from the folder of n1', 'tanagercart restore --settings n1.toml']],
  });

  settings = Option.String('--settings', { required: true });

  async execute(): Promise<number> {
    const settings = await readSettings(this.settings);
    if (settings.isErr()) return this.fail(settings.error.join('\n'));
    const restored = await restoreDataFolder(settings.value);
    if (restored.isErr()) return this.fail(`${this.settings}: ${restored.error}`);
    const { id } = settings.value.node;
    const { lastIndex } = restored.value;
    this.context.stdout.write(
      `${id} is the only voter, with the log up to ${lastIndex}. Start it, then the others with empty folders, and add them: tanagercart voters add NODE\n`,
    );
    return success;
  }

  private fail(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return failure;
  }
}

/** Makes the node of `settings` the only voter in its data folder. The error names the key. */
export async function restoreDataFolder(
  settings: Settings,
): Promise<Result<RestoreResult, string>> {
  const { id, data } = settings.node;
  if (!data) return err('node.data: the node has no data folder');
  const disk = await FileDisk.create(data);
  if (disk.isErr()) return err(`node.data: ${disk.error.file}: ${disk.error.detail}`);
  const logger = BunyanLogger.create(id, 'error').part('log');
  const store = await DiskStore.open({ disk: disk.value, random: systemRandom, logger });
  if (store.isErr()) return err(`node.data: ${store.error.detail}`);
  const restored = await forceSingleVoter(store.value, id);
  return restored.mapErr((e) => `node.data: ${e.detail}`);
}
