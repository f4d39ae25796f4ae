/** The parts of a model that an upstream loads and unloads independently. */

import type { Model } from '@tanagercart/release';
import type { ModelPart } from '@tanagercart/state';

/** Names of versions and adapters, of a model in the release or held by a stage. */
export type PartLists = Pick<Model, 'versions' | 'adapters'>;

/** All parts as one list, versions first. */
export function partsOf({ versions, adapters }: PartLists): readonly ModelPart[] {
  return [
    ...versions.map((name) => ({ kind: 'version', name }) as const),
    ...adapters.map((name) => ({ kind: 'adapter', name }) as const),
  ];
}

/** Whether the lists contain a part. */
export function includesPart(
  { versions, adapters }: PartLists,
  { kind, name }: ModelPart,
): boolean {
  return (kind === 'version' ? versions : adapters).includes(name);
}
