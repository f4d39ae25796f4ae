/**
 * Handles calls to plain services. A call that may not be repeated is an order: it needs an
 * idempotency key, under which the shared log places it at most once.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { RequestId, ServiceId } from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { notRun } from '@tanagercart/dispatch';
import type { Order, Refusal } from '@tanagercart/dispatch';
import type { RefusalReason } from '@tanagercart/protocol';
import type { ClientAccount, ServiceCall, Tier } from '@tanagercart/release';
import type { ServiceResponse } from '@tanagercart/upstream';
import { readBody } from './body.js';
import type { Entry } from './entry.js';

/** Path prefix of services. */
export const servicesPath = '/v1/services/';

/** A call that passed all checks apart from its idempotency key and the limits of its account. */
interface AcceptedCall {
  readonly account: ClientAccount;
  readonly tier: Tier;
  readonly order: Order;
  readonly call: ServiceCall;
}

/** Handles one call to a service. */
export async function handleServiceCall(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const accepted = await acceptCall(entry, req);
  if (accepted.isErr()) {
    entry.refuse(res, withRunOfEarlierCopy(accepted.error, req));
    return;
  }
  const { order, call } = accepted.value;
  const context = { request: order.request, account: order.account };
  const key = req.headers['idempotency-key'];
  if (!call.repeatable && !key) {
    const message = 'this call may not be repeated: an Idempotency-Key is required';
    entry.refuse(res, notRun('key-required', message), context);
    return;
  }
  const answer = await sendWithinLimits(entry, req, res, accepted.value);
  if (answer.isErr()) {
    entry.refuse(res, answer.error, context);
    return;
  }
  res.writeHead(answer.value.status, { 'content-type': answer.value.contentType });
  res.end(answer.value.body);
}

/**
 * Sends a call once the limits of its account admit it. Checks again then that this node admits
 * requests, as its lease may have lapsed meanwhile.
 */
async function sendWithinLimits(
  entry: Entry,
  req: IncomingMessage,
  res: ServerResponse,
  accepted: AcceptedCall,
): Promise<Result<ServiceResponse, Refusal>> {
  const admitted = await entry.options.accountLimits.admitCall(accepted.account, accepted.tier);
  if (admitted.isErr()) return err(withRunOfEarlierCopy(admitted.error, req));
  const closed = entry.closedRefusal();
  const key = String(req.headers['idempotency-key']);
  const answer = closed
    ? err(withRunOfEarlierCopy(closed, req))
    : await send(entry, res, accepted, key);
  admitted.value.settle(0);
  return answer;
}

/**
 * Reasons that depend on the state of the node or the account at the time, so that an earlier copy
 * of the request may have been accepted.
 */
const volatile: ReadonlySet<RefusalReason> = new Set(['draining', 'no-lease', 'account-limit']);

/**
 * Adapts a refusal that was decided before the shared log was consulted. Whether a call with an
 * idempotency key was run is unknown then: an earlier copy under the same key may have been placed.
 */
function withRunOfEarlierCopy(refusal: Refusal, req: IncomingMessage): Refusal {
  if (req.headers['idempotency-key'] === undefined || !volatile.has(refusal.reason)) return refusal;
  const message = `${refusal.message}; this copy was not run, an earlier one may have been`;
  return { ...refusal, run: 'unknown', message };
}

/** Sends a call. A caller that disconnects cancels it, unless it is an order. */
function send(
  entry: Entry,
  res: ServerResponse,
  { order, call }: AcceptedCall,
  key: string,
): Promise<Result<ServiceResponse, Refusal>> {
  const { orders } = entry.options;
  if (!call.repeatable) return orders.placeOnce(order, key);
  const disconnect = new AbortController();
  res.on('close', () => disconnect.abort());
  return orders.sendRepeatable(order, disconnect.signal);
}

/** Reads a call and finds its account, tier and service, or returns a refusal. */
async function acceptCall(
  entry: Entry,
  req: IncomingMessage,
): Promise<Result<AcceptedCall, Refusal>> {
  const precheck = entry.admit(req);
  if (precheck.isErr()) return err(precheck.error);
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
  const call = service?.calls.find((c) => c.method === req.method && matchesPath(c.path, path));
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
      headers: forwardedHeaders(req),
      body: body.value,
    },
  });
}

/** Whether a path without its query matches a pattern; a `*` at the end matches any rest. */
function matchesPath(pattern: string, path: string): boolean {
  const [pathname = ''] = path.split('?', 1);
  return pattern.endsWith('*') ? pathname.startsWith(pattern.slice(0, -1)) : pathname === pattern;
}

/** The headers of a call that the service receives. */
function forwardedHeaders(req: IncomingMessage): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const name of ['content-type', 'accept', 'idempotency-key']) {
    const value = req.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}
