/** The parts of a model that are loaded on their own. */

import type { Model } from '@tanagercart/release';
import type { ModelPart } from '@tanagercart/state';

/** Versions and adapters, as a release offers them and as a stage holds them. */
export type PartLists = Pick<Model, 'versions' | 'adapters'>;

/** Versions and adapters as a list, versions first. */
export function partsOf({ versions, adapters }: PartLists): readonly ModelPart[] {
  return [
    ...versions.map((name) => ({ kind: 'version', name }) as const),
    ...adapters.map((name) => ({ kind: 'adapter', name }) as const),
  ];
}

/** Whether `parts` include a part. */
export function includesPart(
  { versions, adapters }: PartLists,
  { kind, name }: ModelPart,
): boolean {
  return (kind === 'version' ? versions : adapters).includes(name);
}
