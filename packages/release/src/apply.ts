/** Applies a note to a release, whole or not at all. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NoteProblem } from './note.js';
import type { ReleaseNote, ReleaseParts } from './release.js';
import { Release } from './release.js';
import { brokenReferences } from './references.js';

/** The kinds of parts that a release has. */
export const partKinds = ['priceLists', 'clientAccounts', 'models', 'services'] as const;

/** One kind of parts. */
export type PartKind = (typeof partKinds)[number];

interface Named {
  readonly id: string;
}

/** The release that `note` makes of `before`, or every problem with the note. */
export function applyNote(
  before: Release,
  note: ReleaseNote,
): Result<Release, readonly NoteProblem[]> {
  const problems: NoteProblem[] = [];
  const tables = {
    priceLists: merged(before.priceLists, note, 'priceLists', problems),
    clientAccounts: merged(before.clientAccounts, note, 'clientAccounts', problems),
    models: merged(before.models, note, 'models', problems),
    services: merged(before.services, note, 'services', problems),
  };
  const after = Release.fromTables(note.number, tables, before);
  problems.push(...repeatedTiers(note), ...brokenReferences(before, after, note));
  return problems.length > 0 ? err(problems) : ok(after);
}

/** The table with the note's changes of one kind; the same table where there are none. */
function merged<K extends string, T extends Named>(
  was: ReadonlyMap<K, T>,
  note: ReleaseNote,
  kind: PartKind,
  problems: NoteProblem[],
): ReadonlyMap<K, T> {
  const added = note.added[kind] as readonly Named[] as readonly T[];
  const changed = note.changed[kind] as readonly Named[] as readonly T[];
  const withdrawn = note.withdrawn[kind] as readonly string[];
  if (added.length + changed.length + withdrawn.length === 0) return was;
  const table = new Map(was);
  const named = new Set<string>();
  const check = (list: string, id: string, stands: boolean) => {
    const entry = `${list}.${kind} "${id}"`;
    const problem = (message: string) => problems.push({ entry, line: 0, message });
    if (named.has(id)) problem('is listed more than once in this note');
    else if (was.has(id as K) !== stands) problem(stands ? 'does not stand' : 'stands already');
    named.add(id);
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

function repeatedTiers(note: ReleaseNote): readonly NoteProblem[] {
  const problems: NoteProblem[] = [];
  const look = (list: string, parts: ReleaseParts) => {
    for (const { id, tiers } of parts.priceLists) {
      tiers.forEach((tier, i) => {
        if (tiers.findIndex((t) => t.id === tier.id) === i) return;
        const entry = `${list}.priceLists "${id}".tiers[${i}]`;
        problems.push({ entry, line: 0, message: `tier "${tier.id}" is listed more than once` });
      });
    }
  };
  look('added', note.added);
  look('changed', note.changed);
  return problems;
}
