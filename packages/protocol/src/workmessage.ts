/** Messages by which the node that plans placement asks entries for their demand. */

import type { ModelId } from '@tanagercart/base';

/** Asks an entry which models its requests use, and which of them no replica serves. */
export type WorkCall = Record<string, never>;

/** Demand for one version of a model. */
export interface WorkItem {
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string | undefined;
  /** Lowest urgency rank among the requests; 0 is the most urgent. */
  readonly urgency: number;
}

/** The demand of an entry. */
export interface WorkReply {
  /** Demand of requests in progress. */
  readonly open: readonly WorkItem[];
  /** Demand of requests recently refused because no replica holds what they ask for. */
  readonly unserved: readonly WorkItem[];
}
