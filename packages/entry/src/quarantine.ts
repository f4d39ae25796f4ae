/** Handlers by which operators list quarantined requests and lift a quarantine. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Digest, Millis } from '@tanagercart/base';
import type { Proposer, SharedState } from '@tanagercart/state';
import { readBody, sendJson } from './body.js';

/** Timeout of the command that lifts a quarantine. */
const liftTimeoutMs: Millis = 5000;

/** Largest body that names a fingerprint, in bytes. */
const maxBodyBytes = 128;

/** A fingerprint: a SHA-256 digest in hexadecimal. */
const fingerprintPattern = /^[0-9a-f]{64}$/;

/** Parts of the node that these handlers use. */
export interface QuarantineHandlerOptions {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly clock: Clock;
}

/** Sends the requests that are quarantined now. */
export function listQuarantine(o: QuarantineHandlerOptions, res: ServerResponse): void {
  sendJson(res, 200, { quarantined: o.state.quarantine.list(o.clock.wall()) });
}

/** Lifts the quarantine of the fingerprint in the body; `lifted` is false if it had none. */
export async function liftQuarantine(
  o: QuarantineHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, maxBodyBytes);
  const text = body.isOk() ? body.value.toString().trim() : '';
  if (!fingerprintPattern.test(text)) {
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
