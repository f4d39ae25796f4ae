/** The listener for operators. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { carriesKey } from './bearer.js';
import { sendJson } from './body.js';
import { liftQuarantine, listQuarantine } from './quarantine.js';
import { listReleases, showRelease, submitRelease, tryRelease } from './releases.js';
import type { ReleaseOperations } from './releases.js';
import { changeVoters, showVoters } from './voters.js';
import type { VoterChangeOptions } from './voters.js';

/** Path of the releases. */
const releasesPath = '/operators/v1/releases';

/** How long a node may take to begin to drain, in milliseconds. */
const drainTimeoutMs: Millis = 2000;

/** Path under which a node is asked to drain through another. */
const drainPath = /^\/operators\/v1\/nodes\/([A-Za-z0-9._-]+)\/drain$/;

/** What a status reports. */
export interface StatusReport {
  readonly node: NodeId;
  readonly [part: string]: unknown;
}

/** What the operators' listener needs. */
export interface OperatorOptions extends ReleaseOperations, VoterChangeOptions {
  readonly self: NodeId;
  readonly key: string;
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
  const url = new URL(req.url ?? '', 'http://operators');
  const path = url.pathname;
  const number = numberIn(path);
  if (req.method === 'GET' && number !== undefined) {
    showRelease(o, res, number);
    return;
  }
  switch (`${req.method} ${path}`) {
    case `POST ${releasesPath}`:
      await (url.searchParams.get('dry-run') === 'true' ? tryRelease : submitRelease)(o, req, res);
      return;
    case `GET ${releasesPath}`:
      listReleases(o, res);
      return;
    case `GET ${releasesPath}/current`:
      showRelease(o, res);
      return;
    case 'GET /operators/v1/status':
      sendJson(res, 200, o.status());
      return;
    case 'GET /operators/v1/voters':
      await showVoters(o, res);
      return;
    case 'POST /operators/v1/voters':
      await changeVoters(o, req, res);
      return;
    case 'GET /operators/v1/quarantine':
      listQuarantine(o, res);
      return;
    case 'POST /operators/v1/quarantine/lift':
      await liftQuarantine(o, req, res);
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

/** The number of a note in a path such as `/operators/v1/releases/7`. */
function numberIn(path: string): number | undefined {
  const [, digits] = /^\/operators\/v1\/releases\/(\d+)$/.exec(path) ?? [];
  return digits === undefined ? undefined : Number(digits);
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
