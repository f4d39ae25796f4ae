/** Reads the settings of one node from TOML. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import { crossCheck } from './crosscheck.js';
import { problemsOfIssue } from './problem.js';
import type { SettingsProblem } from './problem.js';
import { settingsSchema } from './schema.js';
import type { Settings } from './schema.js';

/** Parses and checks the text of a settings file; every problem is reported. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  const table = parseToml(text, file);
  if (table.isErr()) return err(table.error);
  const checked = settingsSchema.safeParse(table.value);
  if (!checked.success) {
    return err(checked.error.issues.flatMap((i) => problemsOfIssue(i, table.value, file)));
  }
  const contradictions = crossCheck(checked.data);
  if (contradictions.length > 0) return err(contradictions.map((p) => ({ file, ...p })));
  return ok(checked.data);
}

/** Whether the upstream named `id` refuses orders that carry an old fencing number. */
export function checksFencing(settings: Settings, id: string): boolean {
  return settings.upstreams.checkFencing.some((pattern) =>
    pattern.endsWith('*') ? id.startsWith(pattern.slice(0, -1)) : id === pattern,
  );
}

function parseToml(text: string, file: string): Result<unknown, readonly SettingsProblem[]> {
  try {
    return ok(parse(text));
  } catch (e) {
    if (!(e instanceof TomlError)) throw e;
    const [sentence = ''] = e.message.split('\n', 1);
    const message = `line ${e.line}: found no valid TOML; expected a settings file: ${sentence}`;
    return err([{ file, key: '', message }]);
  }
}
