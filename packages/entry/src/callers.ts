/** The listener for callers and upstreams. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { notRun } from '@tanagercart/dispatch';
import { parseAnnouncement } from '@tanagercart/upstream';
import { answerRequest } from './answers.js';
import { parseJson, readBody, sendJson } from './body.js';
import type { Door } from './door.js';
import { sendRefusal } from './refuse.js';
import { answerService, servicesPath } from './services.js';

/** How long callers may keep a list of entries, in seconds. */
const entriesLifetimeSeconds = 30;

/** Creates the listener; it is not yet listening. */
export function createCallerServer(
  door: Door,
  requestMs: number,
  onBroken: (error: unknown) => void,
): Server {
  return createServer({ requestTimeout: requestMs, headersTimeout: requestMs }, (req, res) => {
    route(door, req, res).catch((error: unknown) => {
      if (req.destroyed || res.destroyed) return;
      onBroken(error);
    });
  });
}

async function route(door: Door, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const url = req.url ?? '';
  const [path = ''] = url.split('?', 1);
  if (path.startsWith(servicesPath)) return answerService(door, req, res);
  switch (`${req.method} ${path}`) {
    case 'POST /v1/chat/completions':
      return answerRequest(door, 'chat', req, res);
    case 'POST /v1/completions':
      return answerRequest(door, 'completion', req, res);
    case 'GET /v1/models':
      return sendModels(door, res);
    case 'GET /v1/entries':
      return sendEntries(door, req, res);
    case 'POST /upstreams/v1/announce':
      return takeAnnouncement(door, req, res);
    default:
      return sendJson(res, 404, {
        error: { code: 'not-found', message: `no ${req.method} ${path}`, run: 'not-run' },
      });
  }
}

function sendModels(door: Door, res: ServerResponse): void {
  const data = [...door.o.state.release.models.values()].map((m) => ({
    id: m.id,
    object: 'model',
    created: 0,
    owned_by: 'tanagercart',
  }));
  sendJson(res, 200, { object: 'list', data });
}

function sendEntries(door: Door, req: IncomingMessage, res: ServerResponse): void {
  const entries = door.o.entries(door.account(req)?.id);
  sendJson(res, 200, { entries, lifetimeSeconds: entriesLifetimeSeconds });
}

async function takeAnnouncement(
  door: Door,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, door.o.limits.bodyBytes);
  const parsed = body.isOk() ? parseAnnouncement(parseJson(body.value)) : undefined;
  if (!parsed?.isOk()) {
    const message = parsed?.isErr() ? parsed.error : 'the announcement is too large';
    door.refuse(res, notRun('malformed', message), sendRefusal);
    return;
  }
  const reply = await door.o.upstreams.announced(parsed.value);
  if (reply) sendJson(res, 200, reply);
  else sendJson(res, 503, { error: { code: 'not-recorded', message: 'announce at another node' } });
}
