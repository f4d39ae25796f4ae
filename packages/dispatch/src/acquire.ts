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
const answerTimeoutMs: Millis = 1000;

/** Shortest time that is left for an answer of an owner, in milliseconds. */
const leastTimeoutMs: Millis = 1;

/** Pause before owners that had no room are asked again, in milliseconds; spread by jitter. */
const againMs: Millis = 100;

/** Owners that are asked to refuse rather than let a request wait, before one may queue it. */
const askedInPassing = 2;

/** What acquiring needs. */
export interface AcquireOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly owners: (g: GenerationRequest) => readonly NodeId[];
  /** Notes that an owner is asked, before its answer. */
  readonly recordAcquire: (owner: NodeId) => void;
  /** Learns from an owner's answer. */
  readonly recordReply: (owner: NodeId, reply: AcquireReply) => void;
}

/** One wish for a grant. */
export interface Wish {
  readonly g: GenerationRequest;
  readonly attempt: number;
  readonly prefix: readonly Digest[];
  /** How often a grant of the request was taken back. */
  readonly preemptions: number;
  /** Tokens that earlier attempts generated. */
  readonly passedTokens: number;
  readonly avoid: readonly ReplicaId[];
  /** Replicas that are used only where no other has room. */
  readonly shun: readonly ReplicaId[];
  readonly leftMs: () => Millis;
  readonly signal: AbortSignal;
  /** Whether to ask again when no owner has room, until the time is over. */
  readonly patient: boolean;
}

/** What a wish came to. */
export type Acquired =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'aborted' };

type Answer =
  | Exclude<AcquireReply, { readonly kind: 'queued' }>
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'late' }
  | { readonly kind: 'aborted' };

/** Acquires a grant: first away from shunned replicas, then on any but those to avoid. */
export async function acquire(o: AcquireOptions, wish: Wish): Promise<Acquired> {
  for (;;) {
    const outcome = await round(o, wish);
    if (outcome.kind !== 'refused' || !wish.patient || !mayChange(outcome.refusal.reason)) {
      return outcome;
    }
    const pauseMs = againMs * (0.5 + o.random.next());
    if (pauseMs >= wish.leftMs()) return outcome;
    await o.clock.sleep(pauseMs, wish.signal);
    if (wish.signal.aborted) return { kind: 'aborted' };
  }
}

async function round(o: AcquireOptions, wish: Wish): Promise<Acquired> {
  const first = await askAll(o, wish, [...wish.avoid, ...wish.shun]);
  if (first.kind !== 'refused' || wish.shun.length === 0) return first;
  return askAll(o, wish, wish.avoid);
}

function mayChange(reason: RefusalReason): boolean {
  return ['no-replica', 'owner-unreachable', 'no-lease', 'promise-unreachable'].includes(reason);
}

async function askAll(
  o: AcquireOptions,
  wish: Wish,
  avoid: readonly ReplicaId[],
): Promise<Acquired> {
  let reason: RefusalReason = 'no-replica';
  let retryAfterMs: Millis | undefined;
  const owners = o.owners(wish.g);
  for (const [at, owner] of owners.entries()) {
    o.recordAcquire(owner);
    const othersLeft = at < Math.min(askedInPassing, owners.length - 1);
    const answer = await ask(o, wish, owner, { avoid, othersLeft });
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

function refused(reason: RefusalReason, message: string, retryAfterMs?: Millis): Acquired {
  return { kind: 'refused', refusal: notRun(reason, message, retryAfterMs) };
}

type Terms = Pick<AcquireCall, 'avoid' | 'othersLeft'>;

/** Asks one owner until it grants or refuses, or the time is over. */
async function ask(o: AcquireOptions, wish: Wish, owner: NodeId, terms: Terms): Promise<Answer> {
  for (;;) {
    if (wish.signal.aborted) return { kind: 'aborted' };
    const left = wish.leftMs();
    if (left <= 0) return { kind: 'late' };
    const timeoutMs = Math.max(leastTimeoutMs, Math.min(answerTimeoutMs, left));
    const call = callOf(wish, terms, left);
    const reply = await o.transport.call(owner, 'acquire', call, { timeoutMs });
    if (reply.isErr()) return { kind: 'unreachable' };
    o.recordReply(owner, reply.value);
    if (reply.value.kind !== 'queued') return reply.value;
    o.metrics.count('acquire.queued');
    await o.clock.sleep(Math.min(reply.value.againMs, left), wish.signal);
  }
}

function callOf(wish: Wish, terms: Terms, budgetMs: Millis): AcquireCall {
  const { g, attempt, prefix, preemptions, passedTokens } = wish;
  return {
    request: g.id,
    attempt,
    account: g.account.id,
    tier: g.tier.id,
    model: g.model.id,
    version: g.version,
    adapter: g.adapter,
    release: g.release,
    prefix,
    promptTokens: g.prompt.length,
    maxTokens: g.maxTokens,
    budgetMs,
    ...terms,
    preemptions,
    passedTokens,
  };
}
