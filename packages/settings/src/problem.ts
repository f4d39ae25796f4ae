/** What is wrong with settings, told with what was found and what is expected. */

import type { z } from 'zod';

/** What is wrong with settings, and where. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted path of the key; empty where the file is no TOML. */
  readonly key: string;
  readonly message: string;
}

/** One line for a problem: file, key and message. */
export function formatProblem(p: SettingsProblem): string {
  return p.key ? `${p.file}: ${p.key}: ${p.message}` : `${p.file}: ${p.message}`;
}

/** The problems that an issue of the schema stands for; an unknown key is a problem each. */
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
      message: 'found an unknown key; expected one that the settings reference names',
    }));
  }
  const value = at(table, path);
  // A secret written where its source belongs must not reach a log.
  const found = path[0] === 'keys' ? `a ${typeof value}` : formatValue(value);
  const message = `found ${found}; expected ${expected(issue)}`;
  return [{ file, key: path.join('.'), message }];
}

/** A value as it is shown to people. */
export function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  return JSON.stringify(value) ?? String(value);
}

function expected(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`;
    case 'too_small':
      return `${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}${unit(issue.origin)}`;
    case 'too_big':
      return `at most ${issue.maximum}${unit(issue.origin)}`;
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

function unit(origin: string): string {
  if (origin === 'string') return ' characters';
  return origin === 'array' ? ' entries' : '';
}

function at(table: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    table,
  );
}
