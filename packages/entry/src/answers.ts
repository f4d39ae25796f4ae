/** Handles requests for answers of models: chat completions and completions. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { ModelId, RequestId, TierId } from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fingerprintOf, notRun } from '@tanagercart/dispatch';
import type { GenerationRequest, Refusal } from '@tanagercart/dispatch';
import type { Admission } from '@tanagercart/limits';
import type { ClientAccount } from '@tanagercart/release';
import { parseJson, readBody } from './body.js';
import { parseAnswerRequest } from './answerrequest.js';
import type { AnswerKind, AnswerRequest } from './answerrequest.js';
import { Delivery } from './delivery.js';
import type { Entry } from './entry.js';
import { AnswerWriter } from './answerwriter.js';

/** Most tokens of an answer where the caller sets no limit. */
const defaultMaxTokens = 1024;

/**
 * Header with the model, version and adapter of an answer. A caller that resumes the answer at
 * another entry sends it as the model.
 */
const modelHeader = 'tanagercart-model';

/** Header with the tier of a request. */
const tierHeader = 'tanagercart-tier';

/** Handles one request for an answer. A caller that disconnects cancels the generation. */
export async function handleAnswerRequest(
  entry: Entry,
  kind: AnswerKind,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const admitted = await readAndAdmit(entry, kind, req);
  if (admitted.isErr()) {
    entry.refuse(res, admitted.error, { account: entry.accountOf(req)?.id });
    return;
  }
  const { answerRequest, generation, admission } = admitted.value;
  const disconnect = new AbortController();
  res.on('close', () => disconnect.abort());
  const created = Math.floor(entry.options.clock.wall() / 1000);
  const writer = AnswerWriter.create(kind, generation.id, answerRequest.model, created);
  res.setHeader(modelHeader, qualifiedModelName(generation));
  const pieces = entry.options.dispatch.generate(generation, disconnect.signal);
  const delivery = Delivery.create({ entry, res, writer, answerRequest, generation });
  try {
    await (answerRequest.stream ? delivery.stream(pieces) : delivery.sendBuffered(pieces));
  } finally {
    admission.settle(delivery.generatedTokens);
  }
}

/** A request that was validated and admitted; its admission has to be settled. */
interface AdmittedRequest {
  readonly answerRequest: AnswerRequest;
  readonly generation: GenerationRequest;
  readonly admission: Admission;
}

/** Reads, validates and admits a request, or returns a refusal. */
async function readAndAdmit(
  entry: Entry,
  kind: AnswerKind,
  req: IncomingMessage,
): Promise<Result<AdmittedRequest, Refusal>> {
  const precheck = entry.admit(req);
  if (precheck.isErr()) return err(precheck.error);
  const body = await readBody(req, entry.options.limits.bodyBytes);
  if (body.isErr()) {
    return err(notRun('too-large', `a body may have ${entry.options.limits.bodyBytes} bytes`));
  }
  const parsed = parseAnswerRequest(kind, parseJson(body.value));
  if (parsed.isErr()) return err(notRun(parsed.error.reason, parsed.error.message));
  const admitted = await admit(entry, req, parsed.value);
  return admitted.map((a) => ({ ...a, answerRequest: parsed.value }));
}

/**
 * Resolves a request and admits it within the limits of its account. Repeats both if another
 * release came into force meanwhile, so that the request never runs under an outdated release.
 */
async function admit(
  entry: Entry,
  req: IncomingMessage,
  answerRequest: AnswerRequest,
): Promise<Result<Omit<AdmittedRequest, 'answerRequest'>, Refusal>> {
  for (;;) {
    const account = entry.admit(req);
    if (account.isErr()) return err(account.error);
    const resolved = resolveGeneration(
      entry,
      account.value,
      answerRequest,
      req.headers[tierHeader],
    );
    if (resolved.isErr()) return err(resolved.error);
    const admitted = await entry.options.accountLimits.admitAnswer(resolved.value);
    if (admitted.isErr()) return err(admitted.error);
    const [generation, admission] = [resolved.value, admitted.value];
    const closed = entry.closedRefusal();
    if (!closed && entry.options.state.release.number === generation.release) {
      return ok({ generation, admission });
    }
    admission.settle(0);
    if (closed) return err(closed);
  }
}

/**
 * Resolves the tier, model, version and adapter of a request under the release in force, and checks
 * its size and the quarantine.
 */
function resolveGeneration(
  entry: Entry,
  account: ClientAccount,
  answerRequest: AnswerRequest,
  tierName: string | string[] | undefined,
): Result<GenerationRequest, Refusal> {
  const { state, limits } = entry.options;
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
  const [name = '', version, adapter] = answerRequest.model.split(':');
  const model = release.models.get(ModelId(name));
  const resolvedVersion = version || model?.versions.at(-1);
  if (!model || !resolvedVersion || !model.versions.includes(resolvedVersion)) {
    return err(notRun('unknown-model', `no model "${answerRequest.model}"`));
  }
  if (adapter && !model.adapters.includes(adapter)) {
    return err(notRun('unknown-model', `no adapter "${adapter}" of model "${name}"`));
  }
  const maxTokens = answerRequest.maxTokens ?? Math.min(defaultMaxTokens, limits.answerTokens);
  if (maxTokens > limits.answerTokens) {
    return err(notRun('too-large', `an answer may have ${limits.answerTokens} tokens`));
  }
  if (Buffer.byteLength(answerRequest.prompt) > limits.promptBytes) {
    return err(notRun('prompt-too-large', `a prompt may have ${limits.promptBytes} bytes`));
  }
  if (answerRequest.resume.length >= maxTokens) {
    return err(notRun('malformed', 'resume: the answer already has all of its tokens'));
  }
  const generation: GenerationRequest = {
    id: RequestId(randomUUID()),
    account,
    tier,
    model,
    version: resolvedVersion,
    adapter,
    release: release.number,
    prompt: answerRequest.prompt,
    seed: answerRequest.seed,
    maxTokens,
    passed: answerRequest.resume,
  };
  if (state.quarantine.isQuarantined(fingerprintOf(generation), entry.options.clock.wall())) {
    return err(notRun('quarantined', 'this request has crashed the upstreams that ran it'));
  }
  return ok(generation);
}

/** `model:version` or `model:version:adapter`, whichever generates the answer. */
function qualifiedModelName({ model, version, adapter }: GenerationRequest): string {
  return [model.id, version, ...(adapter ? [adapter] : [])].join(':');
}
