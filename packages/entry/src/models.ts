/** Lists what callers may name as a model. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { notRun } from '@tanagercart/dispatch';
import type { Model } from '@tanagercart/release';
import { sendJson } from './body.js';
import type { Entry } from './entry.js';

const path = '/v1/models';

/** Sends the list of models, or one of them. */
export function sendModels(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  asked: string,
): void {
  if (!entry.accountOf(req)) {
    entry.refuse(res, notRun('unauthorised', 'no account has this key'));
    return;
  }
  const models = [...entry.options.state.release.models.values()];
  const data = models.flatMap(namesOf).map(modelObject);
  if (asked === path) {
    sendJson(res, 200, { object: 'list', data });
    return;
  }
  const name = asked.slice(path.length + 1);
  const one = data.find((m) => m.id === name || encodeURIComponent(m.id) === name);
  if (one) sendJson(res, 200, one);
  else entry.refuse(res, notRun('unknown-model', `no model "${name}"`));
}

/** `model` for its newest version, `model:version`, and `model:version:adapter`. */
function namesOf(model: Model): readonly string[] {
  const versions = model.versions.map((v) => `${model.id}:${v}`);
  const adapted = versions.flatMap((v) => model.adapters.map((a) => `${v}:${a}`));
  return [model.id, ...versions, ...adapted];
}

function modelObject(id: string) {
  return { id, object: 'model', created: 0, owned_by: 'tanagercart' };
}
