/** What operators do with quarantined requests. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Digest, Millis } from '@tanagercart/base';
import type { Proposer, SharedState } from '@tanagercart/state';
import { readBody, sendJson } from './body.js';

/** How long lifting a quarantine may take, in milliseconds. */
const liftTimeoutMs: Millis = 5000;

/** Largest body that names a fingerprint, in bytes. */
const digestBytes = 128;

/** Form of a fingerprint. */
const digestForm = /^[0-9a-f]{64}$/;

/** What the quarantine's paths need. */
export interface QuarantineDesk {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly clock: Clock;
}

/** Lists the quarantined requests. */
export function listQuarantine(o: QuarantineDesk, res: ServerResponse): void {
  sendJson(res, 200, { quarantined: o.state.quarantine.list(o.clock.wall()) });
}

/** Lifts the quarantine of one fingerprint. */
export async function liftQuarantine(
  o: QuarantineDesk,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, digestBytes);
  const text = body.isOk() ? body.value.toString().trim() : '';
  if (!digestForm.test(text)) {
    sendJson(res, 422, { error: { code: 'malformed', message: 'a fingerprint is expected' } });
    return;
  }
  const command = { kind: 'lift-quarantine', fingerprint: text as Digest } as const;
  const committed = await o.proposer.propose(command, liftTimeoutMs);
  if (committed.isErr()) {
    const { kind, detail } = committed.error;
    sendJson(res, 503, { error: { code: kind, message: detail } });
    return;
  }
  sendJson(res, 200, { lifted: committed.value.outcome.kind === 'done' });
}
