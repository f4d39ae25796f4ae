/** Messages between the placement holder and the entries. */

import type { ModelId } from '@tanagercart/base';

/** Asks an entry what its requests use and what they lack. */
export type WorkCall = Record<string, never>;

/** Requests for one version of a model. */
export interface WorkItem {
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string | undefined;
  /** Rank of the most urgent of them; 0 is the most urgent. */
  readonly urgency: number;
}

export interface WorkReply {
  /** Of requests that are in progress. */
  readonly open: readonly WorkItem[];
  /** Of requests that were lately refused as no replica holds what they ask for. */
  readonly unserved: readonly WorkItem[];
}
