/** Applies a release note to a release. A note with any problem is not applied at all. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NoteProblem } from './note.js';
import type { ReleaseNote, ReleaseParts } from './release.js';
import { Release } from './release.js';
import { brokenReferences } from './references.js';

/** The kinds of parts of a release, which are also the keys of the lists in a note. */
export const partKinds = ['priceLists', 'clientAccounts', 'models', 'services'] as const;

/** One kind of parts. */
export type PartKind = (typeof partKinds)[number];

/** What all kinds of parts have in common. */
interface Identified {
  readonly id: string;
}

/** Returns the release that `note` makes of `before`, or all problems of the note. */
export function applyNote(
  before: Release,
  note: ReleaseNote,
): Result<Release, readonly NoteProblem[]> {
  const problems: NoteProblem[] = [];
  const tables = {
    priceLists: mergeTable(before.priceLists, note, 'priceLists', problems),
    clientAccounts: mergeTable(before.clientAccounts, note, 'clientAccounts', problems),
    models: mergeTable(before.models, note, 'models', problems),
    services: mergeTable(before.services, note, 'services', problems),
  };
  const after = Release.fromTables(note.number, tables, before);
  problems.push(...duplicateTiers(note), ...brokenReferences(before, after, note));
  return problems.length > 0 ? err(problems) : ok(after);
}

/**
 * Applies the changes of one kind of parts, and adds the problems found to `problems`. Returns the
 * same table if the note changes nothing of this kind.
 */
function mergeTable<K extends string, T extends Identified>(
  before: ReadonlyMap<K, T>,
  note: ReleaseNote,
  kind: PartKind,
  problems: NoteProblem[],
): ReadonlyMap<K, T> {
  const added = note.added[kind] as readonly Identified[] as readonly T[];
  const changed = note.changed[kind] as readonly Identified[] as readonly T[];
  const withdrawn = note.withdrawn[kind] as readonly string[];
  if (added.length + changed.length + withdrawn.length === 0) return before;
  const table = new Map(before);
  const listed = new Set<string>();
  const check = (list: string, id: string, exists: boolean) => {
    const entry = `${list}.${kind} "${id}"`;
    const problem = (message: string) => problems.push({ entry, line: 0, message });
    if (listed.has(id)) problem('is listed more than once in this note');
    else if (before.has(id as K) !== exists) problem(exists ? 'does not stand' : 'stands already');
    listed.add(id);
  };
  for (const x of added) {
    check('added', x.id, false);
    table.set(x.id as K, x);
  }
  for (const x of changed) {
    check('changed', x.id, true);
    table.set(x.id as K, x);
  }
  for (const id of withdrawn) {
    check('withdrawn', id, true);
    table.delete(id as K);
  }
  return table;
}

/** Problems of price lists that list a tier more than once. */
function duplicateTiers(note: ReleaseNote): readonly NoteProblem[] {
  const problems: NoteProblem[] = [];
  const check = (list: string, parts: ReleaseParts) => {
    for (const { id, tiers } of parts.priceLists) {
      tiers.forEach((tier, i) => {
        if (tiers.findIndex((t) => t.id === tier.id) === i) return;
        const entry = `${list}.priceLists "${id}".tiers[${i}]`;
        problems.push({ entry, line: 0, message: `tier "${tier.id}" is listed more than once` });
      });
    }
  };
  check('added', note.added);
  check('changed', note.changed);
  return problems;
}
