/** Lists the models, versions and adapters that callers may name in requests. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { notRun } from '@tanagercart/dispatch';
import type { Model } from '@tanagercart/release';
import { sendJson } from './body.js';
import type { Entry } from './entry.js';

const modelsPath = '/v1/models';

/** Sends the list of models, or one of them; `requestedPath` is the path of the request. */
export function sendModels(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  requestedPath: string,
): void {
  if (!entry.accountOf(req)) {
    entry.refuse(res, notRun('unauthorised', 'no account has this key'));
    return;
  }
  const models = [...entry.options.state.release.models.values()];
  const data = models.flatMap(modelNamesOf).map(modelObject);
  if (requestedPath === modelsPath) {
    sendJson(res, 200, { object: 'list', data });
    return;
  }
  const name = requestedPath.slice(modelsPath.length + 1);
  const found = data.find((m) => m.id === name || encodeURIComponent(m.id) === name);
  if (found) sendJson(res, 200, found);
  else entry.refuse(res, notRun('unknown-model', `no model "${name}"`));
}

/** The names of a model: `model` (its newest version), `model:version`, `model:version:adapter`. */
function modelNamesOf(model: Model): readonly string[] {
  const versions = model.versions.map((v) => `${model.id}:${v}`);
  const adapted = versions.flatMap((v) => model.adapters.map((a) => `${v}:${a}`));
  return [model.id, ...versions, ...adapted];
}

function modelObject(id: string) {
  return { id, object: 'model', created: 0, owned_by: 'tanagercart' };
}
