/** Generates requests that arrive at random, at a rate that can vary over time. */

import { AccountId, TierId } from '@tanagercart/base';
import type { Millis, Random } from '@tanagercart/base';

/** One request of a workload. `at` is the time of arrival; `tokens` is the length of its answer. */
export interface Arrival {
  readonly at: Millis;
  readonly account: AccountId;
  readonly tier: TierId;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly maxTokens: number;
}

/** A class of requests of one tier. */
export interface Workload {
  readonly tier: TierId;
  /** Fraction of all generated tokens that belongs to this workload. */
  readonly tokenShare: number;
  readonly promptTokens: number;
  readonly meanTokens: number;
  /** Standard deviation of the logarithm of the answer length, which is log-normal. */
  readonly logLengthDeviation: number;
}

/** Client accounts; the first three send most of the requests. */
export const accounts: readonly AccountId[] = Array.from({ length: 10 }, (_, i) =>
  AccountId(`account-${i}`),
);

/** Fraction of the requests that each account sends. */
const accountShares = [0.3, 0.25, 0.15, 0.06, 0.05, 0.05, 0.05, 0.04, 0.03, 0.02];

/** The tiers of the workloads, from the most to the least urgent. */
export const urgent = TierId('urgent');
export const standard = TierId('standard');
export const patient = TierId('patient');

/**
 * The arrivals of `workload` until `endMs`, as a Poisson process. `tokensPerSecond(t)` is the rate
 * of generated tokens of all workloads together, of which this one has its `tokenShare`.
 */
export function arrivals(
  workload: Workload,
  tokensPerSecond: (at: Millis) => number,
  endMs: Millis,
  random: Random,
): readonly Arrival[] {
  const out: Arrival[] = [];
  let at = 0;
  for (;;) {
    const rate = (tokensPerSecond(at) * workload.tokenShare) / workload.meanTokens;
    at += (-Math.log(1 - random.next()) * 1000) / Math.max(rate, 0.001);
    if (at >= endMs) return out;
    out.push(createArrival(workload, at, random));
  }
}

function createArrival(workload: Workload, at: Millis, random: Random): Arrival {
  const scale = Math.exp(
    workload.logLengthDeviation * standardNormal(random) - workload.logLengthDeviation ** 2 / 2,
  );
  const tokens = Math.max(1, Math.round(workload.meanTokens * scale));
  const promptTokens = Math.max(8, Math.round(workload.promptTokens * (0.5 + random.next())));
  const maxTokens = Math.max(tokens, workload.meanTokens * 8);
  return { at, account: pickAccount(random), tier: workload.tier, promptTokens, tokens, maxTokens };
}

function pickAccount(random: Random): AccountId {
  let left = random.next();
  const at = accountShares.findIndex((share) => {
    left -= share;
    return left < 0;
  });
  return accounts[Math.max(0, at)]!;
}

function standardNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
