/**
 * Decides whether a response without a length is whole. Its body ends with its connection, and the
 * operating system also closes the connections of a process that was killed. So the end counts only
 * while the upstream is still there, as what was killed accepts no connection.
 */

import { unreachable } from '@tanagercart/base';
import type { ConnectionEnd } from '@tanagercart/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** What an upstream shows once the connection of a response has ended. */
export type Presence =
  /** It accepts connections, and does not say that it is another incarnation. */
  | 'present'
  /** Another incarnation, or another instance, is at its address. */
  | 'replaced'
  /** Nothing listens at its address; one that leaves may have ended in the middle of it as well. */
  | 'gone'
  /** It was not reached in time. */
  | 'not-reached';

/** The error of a body that may be a part of the response. */
export class UnconfirmedEnd extends Error {
  private constructor(detail: string) {
    super(`the response may be cut: ${detail}`);
  }

  static create(detail: string): UnconfirmedEnd {
    return new UnconfirmedEnd(detail);
  }
}

/**
 * Whether a response is whole whose connection ended by `end`. `findPresence` is asked only where that
 * decides, and asks the upstream after the end.
 */
export async function confirmEnd(
  end: ConnectionEnd,
  findPresence: () => Promise<Presence>,
): Promise<Result<void, UnconfirmedEnd>> {
  switch (end) {
    case 'closed':
      return confirmPresence(await findPresence());
    case 'reset':
      return unconfirmed('its connection was reset');
    case 'unknown':
      return unconfirmed('nothing tells how its connection ended');
    default:
      return unreachable(end);
  }
}

function confirmPresence(presence: Presence): Result<void, UnconfirmedEnd> {
  switch (presence) {
    case 'present':
      return ok();
    case 'replaced':
      return unconfirmed('another incarnation has taken the place of its upstream');
    case 'gone':
      return unconfirmed('its upstream has ended with it');
    case 'not-reached':
      return unconfirmed('its upstream is not reached any more');
    default:
      return unreachable(presence);
  }
}

function unconfirmed(detail: string): Result<void, UnconfirmedEnd> {
  return err(UnconfirmedEnd.create(detail));
}
