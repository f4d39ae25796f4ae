/** Messages that ask a node to drain. */

/** Asks a node to finish its work and end, on behalf of an operator. */
export interface DrainCall {
  /** Who asks, for the log. */
  readonly by: string;
}

/** That the node has begun to drain. */
export interface DrainReply {
  readonly draining: true;
}
