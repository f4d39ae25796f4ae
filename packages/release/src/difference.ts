/** Lists what a note changes in a release, to show to operators. */

import { partKinds } from './apply.js';
import type { Release, ReleaseNote } from './release.js';

/** A part that a note adds, changes or withdraws. */
export interface PartChange {
  readonly kind: 'added' | 'changed' | 'withdrawn';
  /** The part, such as `models "fig"`. */
  readonly part: string;
  /** Changed keys with their values before and after; empty unless the part is changed. */
  readonly keys: readonly KeyChange[];
}

/** A key whose value a note changes. */
export interface KeyChange {
  readonly key: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Lists all changes that a valid note makes to the release `before`. */
export function differenceOf(before: Release, note: ReleaseNote): readonly PartChange[] {
  return partKinds.flatMap((kind): readonly PartChange[] => {
    const previous: ReadonlyMap<string, object> = before[kind];
    const name = (id: string) => `${kind} "${id}"`;
    return [
      ...note.added[kind].map(({ id }) => ({ kind: 'added', part: name(id), keys: [] }) as const),
      ...note.changed[kind].map((x) => {
        const keys = changedKeys(previous.get(x.id) ?? {}, x);
        return { kind: 'changed', part: name(x.id), keys } as const;
      }),
      ...note.withdrawn[kind].map(
        (id) => ({ kind: 'withdrawn', part: name(id), keys: [] }) as const,
      ),
    ];
  });
}

/** The keys of `after` whose values differ from those in `before`. */
function changedKeys(before: object, after: object): readonly KeyChange[] {
  const old = new Map<string, unknown>(Object.entries(before));
  return Object.entries(after)
    .map(([key, value]) => ({ key, before: old.get(key), after: value as unknown }))
    .filter((k) => JSON.stringify(k.before) !== JSON.stringify(k.after));
}
