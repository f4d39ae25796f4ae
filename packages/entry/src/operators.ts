/** The listener for operators. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { NodeId } from '@tanagercart/base';
import { carriesKey } from './bearer.js';
import { sendJson } from './body.js';
import { listReleases, showRelease, submitRelease, tryRelease } from './releases.js';
import type { ReleaseDesk } from './releases.js';

/** Path of the releases. */
const releasesPath = '/operators/v1/releases';

/** What a status reports. */
export interface StatusReport {
  readonly node: NodeId;
  readonly [part: string]: unknown;
}

/** What the operators' listener needs. */
export interface OperatorOptions extends ReleaseDesk {
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
    case 'POST /operators/v1/drain':
      o.drain();
      sendJson(res, 202, { draining: true });
      return;
    default:
      sendJson(res, 404, { error: { code: 'not-found', message: `no ${req.method} ${path}` } });
  }
}

/** The number of a note in a path such as `/operators/v1/releases/7`. */
function numberIn(path: string): number | undefined {
  const [, digits] = /^\/operators\/v1\/releases\/(\d+)$/.exec(path) ?? [];
  return digits === undefined ? undefined : Number(digits);
}
