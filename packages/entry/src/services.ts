/** Serves calls to plain services. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { RequestId, ServiceId } from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { notRun } from '@tanagercart/dispatch';
import type { Order, Refusal } from '@tanagercart/dispatch';
import type { RefusalReason } from '@tanagercart/protocol';
import type { ClientAccount, ServiceCall, Tier } from '@tanagercart/release';
import type { ServiceAnswer } from '@tanagercart/upstream';
import { readBody } from './body.js';
import type { Entry } from './entry.js';

/** Path under which services stand. */
export const servicesPath = '/v1/services/';

interface Checked {
  readonly account: ClientAccount;
  readonly tier: Tier;
  readonly order: Order;
  readonly call: ServiceCall;
}

/** Answers one call to a service. */
export async function answerService(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const checked = await check(entry, req);
  if (checked.isErr()) {
    entry.refuse(res, ofThisCopy(checked.error, req));
    return;
  }
  const { order, call } = checked.value;
  const about = { request: order.request, account: order.account };
  const key = req.headers['idempotency-key'];
  if (!call.repeatable && !key) {
    const message = 'this call may not be repeated: an Idempotency-Key is required';
    entry.refuse(res, notRun('key-required', message), about);
    return;
  }
  const answer = await sendWithinLimits(entry, req, res, checked.value);
  if (answer.isErr()) {
    entry.refuse(res, answer.error, about);
    return;
  }
  res.writeHead(answer.value.status, { 'content-type': answer.value.contentType });
  res.end(answer.value.body);
}

/** Sends a call once the limits of its account admit it. */
async function sendWithinLimits(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  checked: Checked,
): Promise<Result<ServiceAnswer, Refusal>> {
  const admitted = await entry.options.accountLimits.admitCall(checked.account, checked.tier);
  if (admitted.isErr()) return err(ofThisCopy(admitted.error, req));
  const closed = entry.closedRefusal();
  const key = String(req.headers['idempotency-key']);
  const answer = closed ? err(ofThisCopy(closed, req)) : await send(entry, res, checked, key);
  admitted.value.settle(0);
  return answer;
}

/** Reasons that lie in the node or the account, so that an earlier copy may have met none of them. */
const passing: ReadonlySet<RefusalReason> = new Set(['draining', 'no-lease', 'account-limit']);

/**
 * A refusal before the shared log was asked. Whether a keyed call was run is not known then: an
 * earlier copy under the same key may have been placed.
 */
function ofThisCopy(refusal: Refusal, req: IncomingMessage): Refusal {
  if (req.headers['idempotency-key'] === undefined || !passing.has(refusal.reason)) return refusal;
  const message = `${refusal.message}; this copy was not run, an earlier one may have been`;
  return { ...refusal, run: 'unknown', message };
}

/** Sends a call; a caller that hangs up cancels it, unless it is an order. */
function send(
  entry: Entry,
  res: ServerResponse,
  { order, call }: Checked,
  key: string,
): Promise<Result<ServiceAnswer, Refusal>> {
  const { orders } = entry.options;
  if (!call.repeatable) return orders.once(order, key);
  const hangUp = new AbortController();
  res.on('close', () => hangUp.abort());
  return orders.repeatable(order, hangUp.signal);
}

async function check(entry: Entry, req: IncomingMessage): Promise<Result<Checked, Refusal>> {
  const early = entry.admit(req);
  if (early.isErr()) return err(early.error);
  const body = await readBody(req, entry.options.limits.bodyBytes);
  if (body.isErr()) {
    return err(notRun('too-large', `a body may have ${entry.options.limits.bodyBytes} bytes`));
  }
  const admitted = entry.admit(req);
  if (admitted.isErr()) return err(admitted.error);
  const account = admitted.value;
  const tier = entry.options.state.release.tierOf(account);
  if (!tier) return err(notRun('unknown-tier', 'the default tier of the account does not stand'));
  const rest = (req.url ?? '').slice(servicesPath.length);
  const [name = ''] = rest.split(/[/?]/, 1);
  const path = rest.slice(name.length) || '/';
  const service = entry.options.state.release.services.get(ServiceId(name));
  const call = service?.calls.find((c) => c.method === req.method && matches(c.path, path));
  if (!call) {
    return err(notRun('unknown-service', `no call ${req.method} ${path} of service "${name}"`));
  }
  return ok({
    account,
    tier,
    call,
    order: {
      request: RequestId(randomUUID()),
      account: account.id,
      service: name,
      path,
      method: call.method as Order['method'],
      headers: forwarded(req),
      body: body.value,
    },
  });
}

function matches(pattern: string, path: string): boolean {
  const [plain = ''] = path.split('?', 1);
  return pattern.endsWith('*') ? plain.startsWith(pattern.slice(0, -1)) : plain === pattern;
}

function forwarded(req: IncomingMessage): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const name of ['content-type', 'accept', 'idempotency-key']) {
    const value = req.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}
