/** HTTP server for operators: releases, voters, quarantine, status and draining. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { carriesKey } from './bearer.js';
import { sendJson } from './body.js';
import { liftQuarantine, listQuarantine } from './quarantine.js';
import { listReleases, showRelease, submitRelease, previewRelease } from './releases.js';
import type { ReleaseHandlerOptions } from './releases.js';
import { changeVoters, showVoters } from './voters.js';
import type { VoterHandlerOptions } from './voters.js';

/** Path of release notes. */
const releasesPath = '/operators/v1/releases';

/** Timeout of the call that asks another node to drain. */
const drainTimeoutMs: Millis = 2000;

/** Path that drains the node named in it, which need not be the node that gets the request. */
const drainPath = /^\/operators\/v1\/nodes\/([A-Za-z0-9._-]+)\/drain$/;

/** The status of a node, as JSON. */
export interface StatusReport {
  readonly node: NodeId;
  readonly [part: string]: unknown;
}

/** Parts of the node that the handlers use. */
export interface OperatorOptions extends ReleaseHandlerOptions, VoterHandlerOptions {
  readonly self: NodeId;
  /** Bearer key that every request must carry. */
  readonly key: string;
  readonly status: () => StatusReport;
  /** Starts to drain this node. */
  readonly drain: () => void;
}

/**
 * Creates the server, which is not yet listening. `onError` receives what a handler throws, unless
 * the operator has disconnected.
 */
export function createOperatorServer(
  o: OperatorOptions,
  onError: (error: unknown) => void,
): Server {
  return createServer((req, res) => {
    route(o, req, res).catch((error: unknown) => {
      if (!req.destroyed && !res.destroyed) onError(error);
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
  const number = releaseNumberIn(path);
  if (req.method === 'GET' && number !== undefined) {
    showRelease(o, res, number);
    return;
  }
  switch (`${req.method} ${path}`) {
    case `POST ${releasesPath}`:
      await (url.searchParams.get('dry-run') === 'true' ? previewRelease : submitRelease)(
        o,
        req,
        res,
      );
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

/** The number of the release note in a path such as `/operators/v1/releases/7`. */
function releaseNumberIn(path: string): number | undefined {
  const [, digits] = /^\/operators\/v1\/releases\/(\d+)$/.exec(path) ?? [];
  return digits === undefined ? undefined : Number(digits);
}

/** Asks the node in the path to drain. */
async function drainNode(o: OperatorOptions, path: string, res: ServerResponse): Promise<void> {
  const node = NodeId(drainPath.exec(path)?.[1] ?? '');
  const call = { by: `operator at ${o.self}` };
  const reply = await o.transport.call(node, 'drain', call, { timeoutMs: drainTimeoutMs });
  if (reply.isOk()) return sendJson(res, 202, { node, ...reply.value });
  const { kind } = reply.error;
  return sendJson(res, 503, { error: { code: kind, message: `no answer from node "${node}"` } });
}
