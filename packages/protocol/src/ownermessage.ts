/** Messages that tell a new owner of replicas that the previous owner has stopped. */

/** Asks the previous owner whether it has applied the change that moved its replicas. */
export interface HandoverCall {
  /** Log index of that change of the live nodes. */
  readonly view: number;
}

/** The last change of the live nodes that the previous owner has applied, and its process. */
export interface HandoverReply {
  readonly view: number;
  readonly incarnation: string;
}
