/** Applies a note to a release, whole or not at all. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NoteProblem } from './note.js';
import { Release } from './release.js';
import type { ReleaseNote } from './release.js';

interface Named {
  readonly id: string;
}

/** The release that `note` makes of `before`, or every problem with the note. */
export function applyNote(
  before: Release,
  note: ReleaseNote,
): Result<Release, readonly NoteProblem[]> {
  const problems: NoteProblem[] = [];
  const old = before.parts();
  const part = <T extends Named>(
    kind: string,
    was: readonly T[],
    added: readonly T[],
    changed: readonly T[],
    withdrawn: readonly string[],
  ) => mergePart(kind, was, added, changed, withdrawn, problems);
  const { added, changed, withdrawn } = note;
  const parts = {
    priceLists: part(
      'priceLists',
      old.priceLists,
      added.priceLists,
      changed.priceLists,
      withdrawn.priceLists,
    ),
    clientAccounts: part(
      'clientAccounts',
      old.clientAccounts,
      added.clientAccounts,
      changed.clientAccounts,
      withdrawn.clientAccounts,
    ),
    models: part('models', old.models, added.models, changed.models, withdrawn.models),
    services: part('services', old.services, added.services, changed.services, withdrawn.services),
  };
  const after = Release.create(note.number, parts);
  problems.push(...brokenReferences(after));
  return problems.length > 0 ? err(problems) : ok(after);
}

function mergePart<T extends Named>(
  kind: string,
  was: readonly T[],
  added: readonly T[],
  changed: readonly T[],
  withdrawn: readonly string[],
  problems: NoteProblem[],
): readonly T[] {
  const table = new Map(was.map((x) => [x.id, x]));
  const problem = (entry: string, message: string) => problems.push({ entry, line: 0, message });
  for (const x of added) {
    if (table.has(x.id)) problem(`added.${kind} "${x.id}"`, 'stands already');
    table.set(x.id, x);
  }
  for (const x of changed) {
    if (!table.has(x.id)) problem(`changed.${kind} "${x.id}"`, 'does not stand');
    table.set(x.id, x);
  }
  for (const name of withdrawn) {
    if (!table.delete(name)) problem(`withdrawn.${kind} "${name}"`, 'does not stand');
  }
  return [...table.values()];
}

function brokenReferences(release: Release): readonly NoteProblem[] {
  const problems: NoteProblem[] = [];
  const keys = new Map<string, string>();
  for (const account of release.clientAccounts.values()) {
    const entry = `clientAccounts "${account.id}"`;
    const problem = (message: string) => problems.push({ entry, line: 0, message });
    if (!release.priceLists.has(account.priceList)) {
      problem(`uses price list "${account.priceList}", which does not stand`);
    } else if (!release.tierOf(account)) {
      problem(`uses tier "${account.defaultTier}", which does not stand in its price list`);
    }
    const other = keys.get(account.keyDigest);
    if (other) problem(`has the same key as "${other}"`);
    keys.set(account.keyDigest, account.id);
  }
  return problems;
}
