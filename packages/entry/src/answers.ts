/** Serves requests for answers of models. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { ModelId, RequestId, TierId } from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fingerprintOf, notRun } from '@tanagercart/dispatch';
import type { Generation, Refusal } from '@tanagercart/dispatch';
import type { Admission } from '@tanagercart/limits';
import type { ClientAccount } from '@tanagercart/release';
import { parseJson, readBody } from './body.js';
import { parseAnswerRequest } from './chat.js';
import type { AnswerKind, AnswerRequest } from './chat.js';
import { Delivery } from './delivery.js';
import type { Entry } from './entry.js';
import { AnswerWriter } from './writer.js';

/** Answer tokens where the caller names no limit. */
const defaultMaxTokens = 1024;

/** Header that names model, version and adapter of an answer, for a resume at another entry. */
const modelHeader = 'tanagercart-model';

/** Header that names the tier. */
const tierHeader = 'tanagercart-tier';

/** Answers one request for an answer. */
export async function answerRequest(
  entry: Entry,
  kind: AnswerKind,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const checked = await check(entry, kind, req);
  if (checked.isErr()) {
    entry.refuse(res, checked.error, { account: entry.account(req)?.id });
    return;
  }
  const { asked, generation, admission } = checked.value;
  const hangUp = new AbortController();
  res.on('close', () => hangUp.abort());
  const created = Math.floor(entry.o.clock.wall() / 1000);
  const writer = AnswerWriter.create(kind, generation.id, asked.model, created);
  res.setHeader(modelHeader, modelOf(generation));
  const pieces = entry.o.dispatch.generate(generation, hangUp.signal);
  const delivery = Delivery.create({ entry, res, writer, asked, generation });
  try {
    await (asked.stream ? delivery.stream(pieces) : delivery.whole(pieces));
  } finally {
    admission.settle(delivery.generated);
  }
}

interface Checked {
  readonly asked: AnswerRequest;
  readonly generation: Generation;
  readonly admission: Admission;
}

async function check(
  entry: Entry,
  kind: AnswerKind,
  req: IncomingMessage,
): Promise<Result<Checked, Refusal>> {
  const early = entry.admit(req);
  if (early.isErr()) return err(early.error);
  const body = await readBody(req, entry.o.limits.bodyBytes);
  if (body.isErr()) {
    return err(notRun('too-large', `a body may have ${entry.o.limits.bodyBytes} bytes`));
  }
  const asked = parseAnswerRequest(kind, parseJson(body.value));
  if (asked.isErr()) return err(notRun(asked.error.reason, asked.error.message));
  const admitted = await admit(entry, req, asked.value);
  return admitted.map((a) => ({ ...a, asked: asked.value }));
}

/** Judges a request, and admits it within its limits, under the release that is in force then. */
async function admit(
  entry: Entry,
  req: IncomingMessage,
  asked: AnswerRequest,
): Promise<Result<Omit<Checked, 'asked'>, Refusal>> {
  for (;;) {
    const account = entry.admit(req);
    if (account.isErr()) return err(account.error);
    const judged = judge(entry, account.value, asked, req.headers[tierHeader]);
    if (judged.isErr()) return err(judged.error);
    const admitted = await entry.o.accountLimits.answer(judged.value);
    if (admitted.isErr()) return err(admitted.error);
    const [generation, admission] = [judged.value, admitted.value];
    const closed = entry.closed();
    if (!closed && entry.o.state.release.number === generation.release) {
      return ok({ generation, admission });
    }
    admission.settle(0);
    if (closed) return err(closed);
  }
}

/** Judges a request under the release in force. */
function judge(
  entry: Entry,
  account: ClientAccount,
  asked: AnswerRequest,
  tierName: string | string[] | undefined,
): Result<Generation, Refusal> {
  const { state, limits } = entry.o;
  const { release } = state;
  const tier = release.tierOf(
    account,
    tierName === undefined ? undefined : TierId(String(tierName)),
  );
  if (!tier) {
    return err(
      notRun('unknown-tier', `no tier "${String(tierName)}" in the price list of the account`),
    );
  }
  const [name = '', version, adapter] = asked.model.split(':');
  const model = release.models.get(ModelId(name));
  const wanted = version || model?.versions.at(-1);
  if (!model || !wanted || !model.versions.includes(wanted)) {
    return err(notRun('unknown-model', `no model "${asked.model}"`));
  }
  if (adapter && !model.adapters.includes(adapter)) {
    return err(notRun('unknown-model', `no adapter "${adapter}" of model "${name}"`));
  }
  const maxTokens = asked.maxTokens ?? Math.min(defaultMaxTokens, limits.answerTokens);
  if (maxTokens > limits.answerTokens) {
    return err(notRun('too-large', `an answer may have ${limits.answerTokens} tokens`));
  }
  if (Buffer.byteLength(asked.prompt) > limits.promptBytes) {
    return err(notRun('prompt-too-large', `a prompt may have ${limits.promptBytes} bytes`));
  }
  if (asked.resume.length >= maxTokens) {
    return err(notRun('malformed', 'resume: the answer already has all of its tokens'));
  }
  const generation: Generation = {
    id: RequestId(randomUUID()),
    account,
    tier,
    model,
    version: wanted,
    adapter,
    release: release.number,
    prompt: asked.prompt,
    seed: asked.seed,
    maxTokens,
    passed: asked.resume,
  };
  if (state.quarantine.isQuarantined(fingerprintOf(generation), entry.o.clock.wall())) {
    return err(notRun('quarantined', 'this request has crashed the upstreams that ran it'));
  }
  return ok(generation);
}

/** A model's name with the version and adapter that answer. */
function modelOf({ model, version, adapter }: Generation): string {
  return [model.id, version, ...(adapter ? [adapter] : [])].join(':');
}
