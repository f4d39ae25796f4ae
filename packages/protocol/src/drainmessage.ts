/** Messages that ask a node to drain. */

/** Asks a node, on behalf of an operator, to finish its work and shut down. */
export interface DrainCall {
  /** The operator, for the log. */
  readonly by: string;
}

/** Confirms that the node has started to drain. */
export interface DrainReply {
  readonly draining: true;
}
