/** Messages that pass on what upstreams announce. */

import type { UpstreamId } from '@tanagercart/base';

/** Passes on what an upstream announced to another node. */
export interface AnnounceCall {
  readonly upstream: UpstreamId;
  readonly body: string;
}

export interface AnnounceReply {
  readonly ok: boolean;
}
