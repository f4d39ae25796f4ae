/** Parses and validates release notes in TOML. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import { z } from 'zod';
import { Locator } from './locate.js';
import type { ReleaseNote } from './release.js';

const id = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a name of letters, digits, ".", "_", "-"');

const tier = z.strictObject({
  id,
  urgency: z.int().min(0).max(99),
  price: z.number().min(0),
  firstTokenMs: z.number().positive(),
  tokenGapMs: z.number().positive(),
  concurrency: z.int().positive(),
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  retryBudget: z.number().min(0).max(1).default(0.1),
});

const priceList = z.strictObject({ id, tiers: z.array(tier).min(1) });

const clientAccount = z.strictObject({
  id,
  priceList: id,
  defaultTier: id,
  keyDigest: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 in hexadecimal'),
  weight: z.number().positive().default(1),
});

const model = z.strictObject({
  id,
  layers: z.int().positive(),
  versions: z.array(id).min(1),
  adapters: z.array(id).default([]),
});

const serviceCall = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
  path: z.string().startsWith('/'),
  repeatable: z.boolean(),
});

const service = z.strictObject({ id, calls: z.array(serviceCall).min(1) });

const parts = z.strictObject({
  priceLists: z.array(priceList).default([]),
  clientAccounts: z.array(clientAccount).default([]),
  models: z.array(model).default([]),
  services: z.array(service).default([]),
});

const withdrawn = z.strictObject({
  priceLists: z.array(id).default([]),
  clientAccounts: z.array(id).default([]),
  models: z.array(id).default([]),
  services: z.array(id).default([]),
});

const note = z.strictObject({
  number: z.int().positive(),
  author: z.string().min(1),
  added: parts.prefault({}),
  changed: parts.prefault({}),
  withdrawn: withdrawn.prefault({}),
});

/** A problem of a note, with its position. */
export interface NoteProblem {
  /** The key or entry, such as `added.models[0].layers` or `added.models "fig"`. */
  readonly entry: string;
  /** Line in the file, counted from 1; 0 if it is unknown. */
  readonly line: number;
  readonly message: string;
}

/**
 * Parses a note and checks its shape and bounds. Returns all problems with their lines. Whether the
 * note fits the current release is checked by `applyNote`.
 */
export function parseNote(text: string): Result<ReleaseNote, readonly NoteProblem[]> {
  const table = parseToml(text);
  if (table.isErr()) return err(table.error);
  const checked = note.safeParse(table.value);
  if (!checked.success) return err(withLineNumbers(text, checked.error.issues.map(problemOf)));
  return ok(checked.data as unknown as ReleaseNote);
}

/** Sets the line of each problem that has none to that of its entry in `text`. */
export function withLineNumbers(
  text: string,
  problems: readonly NoteProblem[],
): readonly NoteProblem[] {
  const locator = Locator.create(text);
  return problems.map((p) => (p.line > 0 ? p : { ...p, line: locator.lineOf(p.entry) }));
}

function parseToml(text: string): Result<unknown, readonly NoteProblem[]> {
  try {
    return ok(parse(text));
  } catch (e) {
    if (!(e instanceof TomlError)) throw e;
    return err([{ entry: '', line: e.line, message: e.message }]);
  }
}

/** Converts an issue of the schema, whose path becomes an entry such as `added.models[0].id`. */
function problemOf(issue: z.core.$ZodIssue): NoteProblem {
  const entry = issue.path.reduce<string>(
    (path, key) =>
      typeof key === 'number' ? `${path}[${key}]` : `${path}${path ? '.' : ''}${String(key)}`,
    '',
  );
  return { entry, line: 0, message: issue.message };
}
