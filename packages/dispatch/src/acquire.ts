/**
 * Acquires a grant for an attempt from the nodes that own the replicas of a model. The owners are
 * asked in order of preference until one grants, or until the deadline of the request has passed.
 */

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

/** Timeout of one call to an owner, in milliseconds. */
const ownerTimeoutMs: Millis = 1000;

/** Lower bound for the timeout of a call close to the deadline, in milliseconds. */
const minTimeoutMs: Millis = 1;

/**
 * Mean pause before all owners are asked again after none of them granted, in milliseconds.
 * Jitter spreads it between half and one and a half times this value.
 */
const retryPauseMs: Millis = 100;

/**
 * Number of owners that are asked to refuse at once rather than queue the request, so that a
 * replica with a free slot elsewhere is found first. The next owner may queue the request.
 */
const maxNonQueueingOwners = 2;

/** Dependencies of `acquire`. */
export interface AcquireOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly transport: Transport;
  /** Nodes that own replicas of the model, in order of preference. */
  readonly owners: (request: GenerationRequest) => readonly NodeId[];
  /** Records that a call to an owner starts. */
  readonly recordAcquire: (owner: NodeId) => void;
  /** Records the reply of an owner. */
  readonly recordReply: (owner: NodeId, reply: AcquireReply) => void;
}

/** What one attempt needs of its grant. */
export interface Acquisition {
  readonly request: GenerationRequest;
  readonly attempt: number;
  readonly prefix: readonly Digest[];
  /** Number of earlier grants of the request that their owners preempted. */
  readonly preemptions: number;
  /** Number of tokens of the answer that were passed on before this attempt. */
  readonly passedTokens: number;
  /** Replicas that must not be granted, as earlier attempts failed on them. */
  readonly avoid: readonly ReplicaId[];
  /** Replicas that are used only if no other has a free slot, as they failed other requests. */
  readonly lastResort: readonly ReplicaId[];
  /** Time left until the deadline, in milliseconds; negative once it has passed. */
  readonly leftMs: () => Millis;
  readonly signal: AbortSignal;
  /** Whether to ask all owners again until the deadline if none of them grants. */
  readonly waitsForRoom: boolean;
}

/** Result of `acquire`. `aborted` means that the signal of the acquisition was aborted. */
export type AcquireResult =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'aborted' };

type OwnerReply =
  | Exclude<AcquireReply, { readonly kind: 'queued' }>
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'late' }
  | { readonly kind: 'aborted' };

/**
 * Acquires a grant. Replicas of last resort are left out at first, and considered if no other
 * replica was granted. A refusal is final if its reason cannot change within the deadline, or if
 * the acquisition does not wait for room.
 */
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

/** Asks all owners, first without the replicas of last resort, then with them. */
async function tryOwners(o: AcquireOptions, acquisition: Acquisition): Promise<AcquireResult> {
  const first = await askOwners(o, acquisition, [...acquisition.avoid, ...acquisition.lastResort]);
  if (first.kind !== 'refused' || acquisition.lastResort.length === 0) return first;
  return askOwners(o, acquisition, acquisition.avoid);
}

/** Whether a refusal for this reason may turn into a grant a moment later. */
function isTransient(reason: RefusalReason): boolean {
  return ['no-replica', 'owner-unreachable', 'no-lease', 'promise-unreachable'].includes(reason);
}

/** Asks the owners in turn until one grants, and otherwise returns the last refusal. */
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

/** Fields of an acquire call that differ between the owners. */
type OwnerTerms = Pick<AcquireCall, 'avoid' | 'othersLeft'>;

/**
 * Asks one owner until it grants or refuses, or until the deadline has passed. An owner that queues
 * the request is asked again after the pause that it names.
 */
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
