/** Asks the owners of replicas for a grant while the promise lasts. */

import { unreachable } from '@tanagercart/base';
import type { Clock, Digest, Metrics, Millis, NodeId, Random, ReplicaId } from '@tanagercart/base';
import type {
  AcquireCall,
  AcquireReply,
  Grant,
  RefusalReason,
  Transport,
} from '@tanagercart/protocol';
import type { GenerationRequest } from './generation.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';

/** How long one answer of an owner may take, in milliseconds. */
const ownerTimeoutMs: Millis = 1000;

/** Shortest time that is left for an answer of an owner, in milliseconds. */
const minTimeoutMs: Millis = 1;

/** Pause before owners that had no room are asked again, in milliseconds; spread by jitter. */
const retryPauseMs: Millis = 100;

/** Owners that are asked to refuse rather than let a request wait, before one may queue it. */
const maxNonQueueingOwners = 2;

/** What acquiring needs. */
export interface AcquireOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly owners: (request: GenerationRequest) => readonly NodeId[];
  /** Notes that an owner is asked, before its answer. */
  readonly recordAcquire: (owner: NodeId) => void;
  /** Learns from an owner's answer. */
  readonly recordReply: (owner: NodeId, reply: AcquireReply) => void;
}

/** One acquisition for a grant. */
export interface Acquisition {
  readonly request: GenerationRequest;
  readonly attempt: number;
  readonly prefix: readonly Digest[];
  /** How often a grant of the request was taken back. */
  readonly preemptions: number;
  /** Tokens that earlier attempts generated. */
  readonly passedTokens: number;
  readonly avoid: readonly ReplicaId[];
  /** Replicas that are used only where no other has room. */
  readonly lastResort: readonly ReplicaId[];
  readonly leftMs: () => Millis;
  readonly signal: AbortSignal;
  /** Whether to ask again when no owner has room, until the time is over. */
  readonly waitsForRoom: boolean;
}

/** What a acquisition came to. */
export type AcquireResult =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'aborted' };

type OwnerReply =
  | Exclude<AcquireReply, { readonly kind: 'queued' }>
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'late' }
  | { readonly kind: 'aborted' };

/** Acquires a grant: first away from shunned replicas, then on any but those to avoid. */
export async function acquire(o: AcquireOptions, acquisition: Acquisition): Promise<AcquireResult> {
  for (;;) {
    const outcome = await tryOwners(o, acquisition);
    if (
      outcome.kind !== 'refused' ||
      !acquisition.waitsForRoom ||
      !isTransient(outcome.refusal.reason)
    ) {
      return outcome;
    }
    const pauseMs = retryPauseMs * (0.5 + o.random.next());
    if (pauseMs >= acquisition.leftMs()) return outcome;
    await o.clock.sleep(pauseMs, acquisition.signal);
    if (acquisition.signal.aborted) return { kind: 'aborted' };
  }
}

async function tryOwners(o: AcquireOptions, acquisition: Acquisition): Promise<AcquireResult> {
  const first = await askOwners(o, acquisition, [...acquisition.avoid, ...acquisition.lastResort]);
  if (first.kind !== 'refused' || acquisition.lastResort.length === 0) return first;
  return askOwners(o, acquisition, acquisition.avoid);
}

function isTransient(reason: RefusalReason): boolean {
  return ['no-replica', 'owner-unreachable', 'no-lease', 'promise-unreachable'].includes(reason);
}

async function askOwners(
  o: AcquireOptions,
  acquisition: Acquisition,
  avoid: readonly ReplicaId[],
): Promise<AcquireResult> {
  let reason: RefusalReason = 'no-replica';
  let retryAfterMs: Millis | undefined;
  const owners = o.owners(acquisition.request);
  for (const [position, owner] of owners.entries()) {
    o.recordAcquire(owner);
    const othersLeft = position < Math.min(maxNonQueueingOwners, owners.length - 1);
    const answer = await askOwner(o, acquisition, owner, { avoid, othersLeft });
    switch (answer.kind) {
      case 'granted':
        return answer;
      case 'aborted':
        return answer;
      case 'late':
        return refused('deadline', 'the promise ran out before a replica had room');
      case 'unreachable':
        reason = 'owner-unreachable';
        break;
      case 'refused':
        reason = answer.reason;
        retryAfterMs = answer.retryAfterMs;
        break;
      default:
        unreachable(answer);
    }
  }
  return refused(reason, 'no replica can take the request now', retryAfterMs);
}

function refused(reason: RefusalReason, message: string, retryAfterMs?: Millis): AcquireResult {
  return { kind: 'refused', refusal: notRun(reason, message, retryAfterMs) };
}

type OwnerTerms = Pick<AcquireCall, 'avoid' | 'othersLeft'>;

/** Asks one owner until it grants or refuses, or the time is over. */
async function askOwner(
  o: AcquireOptions,
  acquisition: Acquisition,
  owner: NodeId,
  terms: OwnerTerms,
): Promise<OwnerReply> {
  for (;;) {
    if (acquisition.signal.aborted) return { kind: 'aborted' };
    const left = acquisition.leftMs();
    if (left <= 0) return { kind: 'late' };
    const timeoutMs = Math.max(minTimeoutMs, Math.min(ownerTimeoutMs, left));
    const call = toAcquireCall(acquisition, terms, left);
    const reply = await o.transport.call(owner, 'acquire', call, { timeoutMs });
    if (reply.isErr()) return { kind: 'unreachable' };
    o.recordReply(owner, reply.value);
    if (reply.value.kind !== 'queued') return reply.value;
    o.metrics.count('acquire.queued');
    await o.clock.sleep(Math.min(reply.value.againMs, left), acquisition.signal);
  }
}

function toAcquireCall(acquisition: Acquisition, terms: OwnerTerms, budgetMs: Millis): AcquireCall {
  const { request, attempt, prefix, preemptions, passedTokens } = acquisition;
  return {
    request: request.id,
    attempt,
    account: request.account.id,
    tier: request.tier.id,
    model: request.model.id,
    version: request.version,
    adapter: request.adapter,
    release: request.release,
    prefix,
    promptTokens: request.prompt.length,
    maxTokens: request.maxTokens,
    budgetMs,
    ...terms,
    preemptions,
    passedTokens,
  };
}
