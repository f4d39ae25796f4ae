/** The listener for operators. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { NodeId, unreachable } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import { digestOfNote, parseNote } from '@tanagercart/release';
import type { Proposer, SharedState } from '@tanagercart/state';
import { carriesKey } from './bearer.js';
import { readBody, sendJson } from './body.js';

/** How long accepting a note may take, in milliseconds. */
const acceptTimeoutMs: Millis = 5000;

/** How long a submit waits for a note to be in force, in milliseconds. */
const inForceTimeoutMs: Millis = 10_000;

/** Pause between two looks at the progress of a note, in milliseconds. */
const progressPauseMs: Millis = 50;

/** How long a node may take to begin to drain, in milliseconds. */
const drainTimeoutMs: Millis = 2000;

/** Path under which a node is asked to drain through another. */
const drainPath = /^\/operators\/v1\/nodes\/([A-Za-z0-9._-]+)\/drain$/;

/** Largest note, in bytes. */
const noteBytes = 8 * 1024 * 1024;

/** What a status reports. */
export interface StatusReport {
  readonly node: NodeId;
  readonly [part: string]: unknown;
}

/** What the operators' listener needs. */
export interface OperatorOptions {
  readonly self: NodeId;
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
  if (!carriesKey(req, o.key)) {
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
    case 'POST /operators/v1/drain':
      o.drain();
      sendJson(res, 202, { node: o.self, draining: true });
      return;
    default:
      if (req.method === 'POST' && drainPath.test(path)) {
        await drainNode(o, path, res);
        return;
      }
      sendJson(res, 404, { error: { code: 'not-found', message: `no ${req.method} ${path}` } });
  }
}

/** Passes a drain on to the node that the path names. */
async function drainNode(o: OperatorOptions, path: string, res: ServerResponse): Promise<void> {
  const node = NodeId(drainPath.exec(path)?.[1] ?? '');
  const call = { by: `operator at ${o.self}` };
  const reply = await o.transport.call(node, 'drain', call, { timeoutMs: drainTimeoutMs });
  if (reply.isOk()) return sendJson(res, 202, { node, ...reply.value });
  const { kind } = reply.error;
  return sendJson(res, 503, { error: { code: kind, message: `no answer from node "${node}"` } });
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
      return sendJson(res, 500, { error: { code: 'unknown', message: outcome.kind } });
    default:
      return unreachable(outcome);
  }
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
