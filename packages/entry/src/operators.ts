/** The listener for operators. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { timingSafeEqual } from 'node:crypto';
import { digestOf, unreachable } from '@tanagercart/base';
import type { Clock, Digest, Millis, NodeId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import { digestOfNote, parseNote } from '@tanagercart/release';
import type { Proposer, SharedState } from '@tanagercart/state';
import { readBody, sendJson } from './body.js';

/** How long accepting a note may take, in milliseconds. */
const acceptTimeoutMs: Millis = 5000;

/** How long a submit waits for a note to be in force, in milliseconds. */
const inForceTimeoutMs: Millis = 10_000;

/** Pause between two looks at the progress of a note, in milliseconds. */
const progressPauseMs: Millis = 50;

/** Largest note, in bytes. */
const noteBytes = 8 * 1024 * 1024;

/** Largest body that names a fingerprint, in bytes. */
const digestBytes = 128;

/** Form of a fingerprint. */
const digestForm = /^[0-9a-f]{64}$/;

/** What a status reports. */
export interface StatusReport {
  readonly node: NodeId;
  readonly [part: string]: unknown;
}

/** What the operators' listener needs. */
export interface OperatorOptions {
  readonly key: string;
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly leader: () => NodeId | undefined;
  readonly status: () => StatusReport;
  readonly drain: () => void;
}

/** Creates the listener; it is not yet listening. */
export function createOperatorServer(
  o: OperatorOptions,
  onBroken: (error: unknown) => void,
): Server {
  return createServer((req, res) => {
    route(o, req, res).catch((error: unknown) => {
      if (!req.destroyed && !res.destroyed) onBroken(error);
    });
  });
}

async function route(o: OperatorOptions, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (!hasKey(o, req)) {
    sendJson(res, 401, {
      error: { code: 'unauthorised', message: "the operators' key is required" },
    });
    return;
  }
  const [path = ''] = (req.url ?? '').split('?', 1);
  switch (`${req.method} ${path}`) {
    case 'POST /operators/v1/releases':
      await submit(o, req, res);
      return;
    case 'GET /operators/v1/releases':
      sendJson(res, 200, { notes: o.state.releases.notes });
      return;
    case 'GET /operators/v1/status':
      sendJson(res, 200, o.status());
      return;
    case 'GET /operators/v1/quarantine':
      sendJson(res, 200, { quarantined: o.state.quarantine.list(o.clock.wall()) });
      return;
    case 'POST /operators/v1/quarantine/lift':
      await lift(o, req, res);
      return;
    case 'POST /operators/v1/drain':
      o.drain();
      sendJson(res, 202, { draining: true });
      return;
    default:
      sendJson(res, 404, { error: { code: 'not-found', message: `no ${req.method} ${path}` } });
  }
}

function hasKey(o: OperatorOptions, req: IncomingMessage): boolean {
  const [, key = ''] = (req.headers.authorization ?? '').split(' ');
  return timingSafeEqual(Buffer.from(digestOf(key)), Buffer.from(digestOf(o.key)));
}

async function submit(
  o: OperatorOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, noteBytes);
  if (body.isErr()) {
    return sendJson(res, 413, { error: { code: 'too-large', message: 'the note is too large' } });
  }
  const note = parseNote(body.value.toString());
  if (note.isErr()) return sendInvalid(res, note.error);
  const digest = digestOfNote(note.value);
  const command = { kind: 'accept-release', note: note.value, digest, at: o.clock.wall() } as const;
  const committed = await o.proposer.propose(command, acceptTimeoutMs);
  if (committed.isErr()) {
    const { kind, detail } = committed.error;
    const message =
      kind === 'unknown' ? 'the note may or may not be accepted; submit it again' : detail;
    return sendJson(res, 503, { error: { code: kind, message } });
  }
  const { outcome } = committed.value;
  switch (outcome.kind) {
    case 'release-accepted':
      return sendJson(res, 200, {
        number: outcome.number,
        digest,
        resend: outcome.resend,
        ...(await waitInForce(o, outcome.index)),
      });
    case 'release-conflict':
      return sendJson(res, 409, {
        error: { code: 'conflict', message: `release ${outcome.number} is in force`, ...outcome },
      });
    case 'release-invalid':
      return sendInvalid(res, outcome.problems);
    case 'done':
    case 'stale':
    case 'order-claimed':
    case 'order-known':
    case 'order-conflict':
    case 'batch':
      return sendJson(res, 500, { error: { code: 'unknown', message: outcome.kind } });
    default:
      return unreachable(outcome);
  }
}

/** Lifts the quarantine of one fingerprint. */
async function lift(o: OperatorOptions, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const body = await readBody(req, digestBytes);
  const text = body.isOk() ? body.value.toString().trim() : '';
  if (!digestForm.test(text)) {
    sendJson(res, 422, { error: { code: 'malformed', message: 'a fingerprint is expected' } });
    return;
  }
  const command = { kind: 'lift-quarantine', fingerprint: text as Digest } as const;
  const committed = await o.proposer.propose(command, acceptTimeoutMs);
  if (committed.isErr()) {
    const { kind, detail } = committed.error;
    sendJson(res, 503, { error: { code: kind, message: detail } });
    return;
  }
  sendJson(res, 200, { lifted: committed.value.outcome.kind === 'done' });
}

function sendInvalid(res: ServerResponse, problems: readonly unknown[]): void {
  sendJson(res, 422, {
    error: { code: 'invalid-note', message: 'the note is not valid', problems },
  });
}

interface InForce {
  readonly inForce: boolean;
  readonly waitingFor: readonly NodeId[];
}

/** Waits until the command at `index` is in force everywhere, or says who lacks it. */
async function waitInForce(o: OperatorOptions, index: number): Promise<InForce> {
  const deadline = o.clock.now() + inForceTimeoutMs;
  let waitingFor: readonly NodeId[] = [];
  while (o.clock.now() < deadline) {
    const leader = o.leader();
    const reply =
      leader && (await o.transport.call(leader, 'progress', { index }, { timeoutMs: 1000 }));
    if (reply?.isOk() && reply.value.kind === 'in-force') return { inForce: true, waitingFor: [] };
    if (reply?.isOk() && reply.value.kind === 'pending') waitingFor = reply.value.waitingFor;
    await o.clock.sleep(progressPauseMs);
  }
  return { inForce: false, waitingFor };
}
