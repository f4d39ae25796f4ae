/** Compares two configurations, entry by entry. */

import { isDeepStrictEqual } from 'node:util';
import type { Account, Configuration } from './model.js';

/** A field that differs. A missing value was not set. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** An entry of a configuration that was added, removed or changed. */
export interface ConfigurationChange {
  readonly change: 'added' | 'removed' | 'changed';
  readonly where: string;
  /** Fields that differ; empty for an entry that was added or removed. */
  readonly fields: readonly FieldChange[];
}

type Entries = ReadonlyMap<string, object>;

/** The entries in which `after` differs from `before`; the version is not compared. */
export function differenceOf(
  before: Configuration,
  after: Configuration,
): readonly ConfigurationChange[] {
  const old = entriesOf(before);
  const now = entriesOf(after);
  const removed = [...old.keys()].filter((where) => !now.has(where));
  return [
    ...removed.map((where): ConfigurationChange => ({ change: 'removed', where, fields: [] })),
    ...[...now].flatMap(([where, entry]) => changeOf(where, old.get(where), entry)),
  ];
}

function changeOf(
  where: string,
  before: object | undefined,
  after: object,
): readonly ConfigurationChange[] {
  if (!before) return [{ change: 'added', where, fields: [] }];
  const old = new Map<string, unknown>(Object.entries(before));
  const now = new Map<string, unknown>(Object.entries(after));
  const fields = [...new Set([...old.keys(), ...now.keys()])]
    .filter((field) => !isDeepStrictEqual(old.get(field), now.get(field)))
    .map((field) => shown({ field, before: old.get(field), after: now.get(field) }));
  return fields.length === 0 ? [] : [{ change: 'changed', where, fields }];
}

/** Keys are secrets, so that only their number is shown. */
function shown(change: FieldChange): FieldChange {
  if (change.field !== 'keys') return change;
  return { field: 'keys', before: countText(change.before), after: countText(change.after) };
}

function countText(keys: unknown): string {
  return `${(keys as Account['keys']).length} keys, not shown`;
}

function entriesOf({ routes, services, accounts, limits }: Configuration): Entries {
  return new Map<string, object>([
    ...routes.map((r) => [`route ${r.id}`, r] as const),
    ...services.map((s) => [`service ${s.id}`, s] as const),
    ...(accounts ?? []).map((a) => [`account ${a.id}`, a] as const),
    ['authentication', { needsKey: accounts !== undefined }],
    ['limits', limits],
  ]);
}
