/** Turns schema errors into messages that state the found and the expected value. */

import type { z } from 'zod';

/** A problem in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted path of the key; empty if the file is not valid TOML. */
  readonly key: string;
  readonly message: string;
}

/** Formats a problem as one line with the file, the key and the message. */
export function formatProblem(p: SettingsProblem): string {
  return p.key ? `${p.file}: ${p.key}: ${p.message}` : `${p.file}: ${p.message}`;
}

/** Converts an issue of the schema; each unknown key becomes a problem of its own. */
export function problemsOfIssue(
  issue: z.core.$ZodIssue,
  table: unknown,
  file: string,
): readonly SettingsProblem[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((k) => ({
      file,
      key: [...path, k].join('.'),
      message: 'found an unknown key; expected a key of the settings reference',
    }));
  }
  const value = valueAt(table, path);
  // An operator may have written a secret in place of its source; it must not appear in a log.
  const found = path[0] === 'keys' ? `a ${typeof value}` : formatValue(value);
  const message = `found ${found}; expected ${expectationOf(issue)}`;
  return [{ file, key: path.join('.'), message }];
}

/** Formats a value for a message. */
export function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  return JSON.stringify(value) ?? String(value);
}

function expectationOf(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`;
    case 'too_small':
      return `${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}${unitOf(issue.origin)}`;
    case 'too_big':
      return `at most ${issue.maximum}${unitOf(issue.origin)}`;
    case 'invalid_value':
      return `one of ${issue.values.map((v) => formatValue(v)).join(', ')}`;
    case 'invalid_format':
    case 'invalid_union':
    case 'not_multiple_of':
    case 'invalid_key':
    case 'invalid_element':
    case 'unrecognized_keys':
    case 'custom':
    default:
      return issue.message;
  }
}

function unitOf(origin: string): string {
  if (origin === 'string') return ' characters';
  return origin === 'array' ? ' entries' : '';
}

function valueAt(table: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    table,
  );
}
