/**
 * Admission control: decides whether a request can start on a replica such that the inter-token
 * latency stays within the limits that the tiers of the request and of all running sequences set.
 * Protects running sequences against batches that are too large.
 */

import type { Millis } from '@tanagercart/base';
import type { AcquireCall } from '@tanagercart/protocol';
import type { Candidate } from './candidates.js';

/** The properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly call: AcquireCall;
  /** Longest inter-token latency that the tier allows. */
  readonly tokenGapMs: Millis;
  /** Tokens that the request is expected to generate. */
  readonly expectedTokens: number;
  /**
   * Slots that must stay free in total on all candidates, for more urgent requests that may arrive.
   */
  readonly reservedSlots: number;
}

/** A replica on which a request can run, and the predicted times. */
export interface Placement {
  readonly candidate: Candidate;
  /** Predicted time from the grant to the first token, if granted now. */
  readonly firstTokenMs: Millis;
  /** Predicted time from the grant to the last token, if granted now. */
  readonly totalMs: Millis;
}

/**
 * Finds a replica with a free slot on which the inter-token latency stays within the limits of all
 * sequences: the one that completes the request first. A request that has to leave slots free for
 * more urgent ones gets the slowest such replica, so that the fast ones stay free for those.
 * Returns undefined if there is none, or if fewer slots than reserved would stay free.
 */
export function findPlacement(
  request: AdmissionRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Placement | undefined {
  let freeSlots = 0;
  let best: Placement | undefined;
  for (const candidate of candidates) {
    const { load } = candidate;
    freeSlots += Math.max(0, load.freeSlots);
    if (load.freeSlots <= 0 || !meetsTokenGapLimits(candidate, request.tokenGapMs)) continue;
    const placement = predictPlacement(request, candidate, load.running + 1, now);
    const { totalMs } = placement;
    const isBetter =
      !best || (request.reservedSlots > 0 ? totalMs > best.totalMs : totalMs < best.totalMs);
    if (isBetter) best = placement;
  }
  return freeSlots > request.reservedSlots ? best : undefined;
}

/**
 * Predicts the times of a request on a replica. `running` is the number of sequences in the batch
 * while the request generates tokens, including the request itself.
 */
export function predictPlacement(
  request: AdmissionRequest,
  candidate: Candidate,
  running: number,
  now: Millis,
): Placement {
  const { load } = candidate;
  const prefillTokens = prefillTokensFor(candidate, request.call, now);
  const firstTokenMs = load.latency.firstTokenMs(load.running + 1, prefillTokens);
  const totalMs = firstTokenMs + request.expectedTokens * load.latency.stepMs(running);
  return { candidate, firstTokenMs, totalMs };
}

/**
 * Prompt tokens that the replica has to prefill before the first token of the call: those of the
 * call that are probably not cached, and those of the running sequences that are not prefilled yet.
 */
export function prefillTokensFor(c: Candidate, call: AcquireCall, now: Millis): number {
  const uncachedTokens =
    call.promptTokens * (1 - c.load.prefixCache.cachedFraction(call.prefix, now));
  return uncachedTokens + c.load.pendingPrefillTokens(now);
}

/** Predicted time from the grant to the first token with a cold prefix cache, if granted now. */
export function predictColdFirstTokenMs(c: Candidate, call: AcquireCall, now: Millis): Millis {
  const prefillTokens = call.promptTokens + c.load.pendingPrefillTokens(now);
  return c.load.latency.firstTokenMs(c.load.running + 1, prefillTokens);
}

/** Whether one more sequence keeps the limits of the request and of all running sequences. */
function meetsTokenGapLimits(c: Candidate, tokenGapMs: Millis): boolean {
  const { load } = c;
  return load.latency.stepMs(load.running + 1) <= Math.min(tokenGapMs, load.minTokenGapMs);
}
