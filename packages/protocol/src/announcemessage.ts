/** Messages that forward the announcements of upstreams. */

import type { UpstreamId } from '@tanagercart/base';

/** Forwards an announcement to the node that watches the upstream. */
export interface AnnounceCall {
  readonly upstream: UpstreamId;
  /** The announcement as the upstream sent it. */
  readonly body: string;
}

/** The reply to an `AnnounceCall`. */
export interface AnnounceReply {
  readonly ok: boolean;
}
