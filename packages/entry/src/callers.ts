/** The listener for callers and upstreams. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { BrokenInvariant } from '@tanagercart/base';
import { maybeRun, notRun } from '@tanagercart/dispatch';
import { parseAnnouncement } from '@tanagercart/upstream';
import { answerRequest } from './answers.js';
import { callerOf } from './asker.js';
import { carriesKey } from './bearer.js';
import { parseJson, readBody, sendJson } from './body.js';
import { answerBadRequest, requestTimeoutCode } from './badrequest.js';
import type { Entry } from './entry.js';
import { sendModels } from './models.js';
import { answerService, servicesPath } from './services.js';

/** Creates the listener; it is not yet listening. */
export function createCallerServer(entry: Entry, onBroken: (error: unknown) => void): Server {
  const { requestMs, headerBytes } = entry.options.limits;
  const options = {
    requestTimeout: requestMs,
    headersTimeout: requestMs,
    connectionsCheckingInterval: Math.ceil(requestMs / 2),
    maxHeaderSize: headerBytes,
  };
  // Connections whose request was answered before it was whole: there is no more to say on them.
  const answered = new WeakSet<Duplex>();
  const server = createServer(options, (req, res) => {
    res.on('finish', () => {
      if (!req.complete) answered.add(req.socket);
    });
    const closed = new Promise((resolve) => {
      res.on('close', resolve);
    });
    const served = serve(entry, req, res, onBroken);
    void entry.activeRequests.track(Promise.all([served, closed]));
  });
  server.on('clientError', (error, socket) => {
    const late = (error as { readonly code?: string }).code === requestTimeoutCode;
    if (late && answered.has(socket)) socket.destroy();
    else answerBadRequest(entry, error, socket);
  });
  return server;
}

/** Serves one request; a bug ends this request alone, a broken invariant the process. */
async function serve(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  onBroken: (error: unknown) => void,
): Promise<void> {
  try {
    await route(entry, req, res);
  } catch (error) {
    if (error instanceof BrokenInvariant) onBroken(error);
    if (req.destroyed && !req.complete) return;
    const about = { account: entry.accountOf(req)?.id };
    const detail = String((error as Error).stack ?? error);
    entry.options.logger.error('A request failed.', { ...about, error: detail });
    const refusal = maybeRun('internal', 'the request met a fault of this node');
    if (!res.headersSent) {
      entry.refuse(res, refusal, about);
      return;
    }
    entry.recordRefusal(refusal, about);
    res.destroy();
  }
}

async function route(entry: Entry, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const url = req.url ?? '';
  const [path = ''] = url.split('?', 1);
  if (req.method === 'POST' && path.startsWith('/v1/')) entry.suggestEntries(req, res);
  if (path.startsWith(servicesPath)) return answerService(entry, req, res);
  switch (`${req.method} ${path}`) {
    case 'POST /v1/chat/completions':
      return answerRequest(entry, 'chat', req, res);
    case 'POST /v1/completions':
      return answerRequest(entry, 'completion', req, res);
    case 'GET /v1/entries':
      return sendEntries(entry, req, res);
    case 'POST /upstreams/v1/announce':
      return takeAnnouncement(entry, req, res);
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

async function takeAnnouncement(
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
