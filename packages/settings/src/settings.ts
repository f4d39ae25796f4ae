/** Parses and checks the settings of a node. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import { crossCheck } from './crosscheck.js';
import { problemsOfIssue } from './problem.js';
import type { SettingsProblem } from './problem.js';
import { settingsSchema } from './schema.js';
import type { Settings } from './schema.js';

/**
 * Parses the text of a settings file. The error lists all problems of the first failing stage: the
 * TOML syntax, the schema, or the constraints between keys.
 */
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

/** Whether the upstream `id` is configured to reject orders with an outdated fencing number. */
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
    const [summary = ''] = e.message.split('\n', 1);
    const message = `line ${e.line}: found no valid TOML; expected a settings file: ${summary}`;
    return err([{ file, key: '', message }]);
  }
}
