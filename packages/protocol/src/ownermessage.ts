/** Messages by which a new owner learns that the old one has stopped. */

/** Asks an old owner whether it has applied the change that took its replicas away. */
export interface HandoverCall {
  /** Log index of that change. */
  readonly view: number;
}

/** Says up to which change of the live nodes the old owner follows the shared state. */
export interface HandoverReply {
  readonly view: number;
  readonly incarnation: string;
}
