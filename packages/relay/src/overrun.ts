/** Attempts that are ended for what they receive: more than an answer has, or than memory allows. */

import { UnconfirmedEnd } from './bodyend.js';

/** What an attempt received too much of. */
export type OverrunKind =
  /** Bytes that are no content of a response. */
  | 'overhead'
  /** A body that is held until it is complete. */
  | 'body'
  /** Bytes without the end of an event. */
  | 'event'
  /** It held the most when all attempts together held too much. */
  | 'memory';

/** The error of a body that is not read on. */
export class Overrun extends Error {
  private constructor(
    readonly kind: OverrunKind,
    detail: string,
  ) {
    super(detail);
  }

  static create(kind: OverrunKind, detail: string): Overrun {
    return new Overrun(kind, detail);
  }
}

/** Why a response was not read to its end. */
export interface BrokenRead {
  readonly detail: string;
  /** Undefined where the response broke off by itself. */
  readonly overrun?: OverrunKind;
}

/** What an error of a body tells; one that tells nothing itself is described by `detail`. */
export function brokenRead(error: unknown, detail: string): BrokenRead {
  if (error instanceof Overrun) return { detail: error.message, overrun: error.kind };
  return { detail: error instanceof UnconfirmedEnd ? error.message : detail };
}
