/** HTTP server for callers, and for upstreams that announce themselves. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { InvariantError } from '@tanagercart/base';
import { maybeRun, notRun } from '@tanagercart/dispatch';
import { parseAnnouncement } from '@tanagercart/upstream';
import { handleAnswerRequest } from './answers.js';
import { callerOf } from './caller.js';
import { carriesKey } from './bearer.js';
import { parseJson, readBody, sendJson } from './body.js';
import { answerBadRequest, requestTimeoutCode } from './badrequest.js';
import type { Entry } from './entry.js';
import { sendModels } from './models.js';
import { handleServiceCall, servicesPath } from './services.js';

/**
 * Creates the server, which is not yet listening. `onBrokenInvariant` receives each broken
 * invariant and has to end the process.
 */
export function createCallerServer(
  entry: Entry,
  onBrokenInvariant: (error: unknown) => void,
): Server {
  const { requestMs, headerBytes } = entry.options.limits;
  const options = {
    requestTimeout: requestMs,
    headersTimeout: requestMs,
    connectionsCheckingInterval: Math.ceil(requestMs / 2),
    maxHeaderSize: headerBytes,
  };
  // Connections whose request was answered before all of it had arrived. Nothing more is sent on
  // them when the rest of the request times out.
  const answeredEarly = new WeakSet<Duplex>();
  // The answer to the newest request of each connection.
  const newest = new WeakMap<Duplex, ServerResponse>();
  const server = createServer(options, (req, res) => {
    newest.set(req.socket, res);
    res.on('finish', () => {
      if (!req.complete) answeredEarly.add(req.socket);
    });
    const closed = new Promise((resolve) => {
      res.on('close', resolve);
    });
    const handled = handleRequest(entry, req, res, onBrokenInvariant);
    void entry.activeRequests.track(Promise.all([handled, closed]));
  });
  server.on('clientError', (error, socket) => {
    const timedOut = (error as { readonly code?: string }).code === requestTimeoutCode;
    const answer = newest.get(socket);
    if (answer?.req.complete && !answer.writableFinished) endAfterAnswer(answer, socket);
    else if (timedOut && answeredEarly.has(socket)) socket.destroy();
    else answerBadRequest(entry, error, socket);
  });
  return server;
}

/** Ends a connection on which something else than a request has followed, once its answer is sent. */
function endAfterAnswer(answer: ServerResponse, socket: Duplex): void {
  if (socket.readableEnded) {
    // Its caller has left amid its next request.
    socket.end();
    return;
  }
  if (!answer.shouldKeepAlive) return;
  answer.shouldKeepAlive = false;
  answer.once('close', () => socket.end());
}

/**
 * Handles one request. An unexpected error fails this request alone; a broken invariant is also
 * reported, so that the process ends.
 */
async function handleRequest(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  onBrokenInvariant: (error: unknown) => void,
): Promise<void> {
  try {
    await route(entry, req, res);
  } catch (error) {
    if (error instanceof InvariantError) onBrokenInvariant(error);
    if (req.destroyed && !req.complete) return;
    const context = { account: entry.accountOf(req)?.id };
    const detail = String((error as Error).stack ?? error);
    entry.options.logger.error('A request handler threw an error.', { ...context, error: detail });
    const refusal = maybeRun('internal', 'the request met a fault of this node');
    if (!res.headersSent) {
      entry.refuse(res, refusal, context);
      return;
    }
    entry.recordRefusal(refusal, context);
    res.destroy();
  }
}

async function route(entry: Entry, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const url = req.url ?? '';
  const [path = ''] = url.split('?', 1);
  if (req.method === 'POST' && path.startsWith('/v1/')) entry.suggestEntries(req, res);
  if (path.startsWith(servicesPath)) return handleServiceCall(entry, req, res);
  switch (`${req.method} ${path}`) {
    case 'POST /v1/chat/completions':
      return handleAnswerRequest(entry, 'chat', req, res);
    case 'POST /v1/completions':
      return handleAnswerRequest(entry, 'completion', req, res);
    case 'GET /v1/entries':
      return sendEntries(entry, req, res);
    case 'POST /upstreams/v1/announce':
      return handleAnnouncement(entry, req, res);
    default:
      if (req.method === 'GET' && path.startsWith('/v1/models')) {
        return sendModels(entry, req, res, path);
      }
      return entry.refuse(res, notRun('not-found', `no ${req.method} ${path}`));
  }
}

function sendEntries(entry: Entry, req: IncomingMessage, res: ServerResponse): void {
  const { entries, lifetimeMs } = entry.options.entriesFor(callerOf(req, entry.accountOf(req)?.id));
  sendJson(res, 200, { entries, lifetimeSeconds: Math.ceil(lifetimeMs / 1000) });
}

async function handleAnnouncement(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const { upstreamKey, limits, upstreams } = entry.options;
  if (upstreamKey !== undefined && !carriesKey(req, upstreamKey)) {
    entry.refuse(res, notRun('unauthorised', "the upstreams' key is required"));
    return;
  }
  const body = await readBody(req, limits.bodyBytes);
  const parsed = body.isOk() ? parseAnnouncement(parseJson(body.value)) : undefined;
  if (!parsed?.isOk()) {
    const message = parsed?.isErr() ? parsed.error : 'the announcement is too large';
    entry.refuse(res, notRun('malformed', message));
    return;
  }
  const reply = await upstreams.handleAnnouncement(parsed.value);
  if (reply) sendJson(res, 200, reply);
  else sendJson(res, 503, { error: { code: 'not-recorded', message: 'announce at another node' } });
}
