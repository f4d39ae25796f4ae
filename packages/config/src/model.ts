/** What one numbered configuration holds: routes, services, client accounts and limits. */

import type { AccountId, Branded, DataCentreId, Millis, ServiceId } from '@tanagercart/base';

/** Names a route. */
export type RouteId = Branded<string, 'RouteId'>;

export const RouteId = (s: string) => s as RouteId;

/** How often a request may run, and what its answer is. */
export type CallKind =
  /** May run more than once. */
  | 'idempotent'
  /** Runs once at most. */
  | 'non-idempotent'
  /** Answers with a stream of events; runs once at most. */
  | 'stream'
  /** A stream that may be resumed after any event by another run. */
  | 'resumable-stream';

/** A share of a route's requests. */
export interface TrafficShare {
  readonly service: ServiceId;
  readonly weight: number;
}

/** Where requests with a host and a path prefix go, and what they were promised. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: CallKind;
  /** Longest time that a request may wait for its answer. */
  readonly timeoutMs: Millis;
  /** Time within which an answer, or a stream's first event, is on time. */
  readonly latencyTargetMs: Millis;
  /** Longest pause between events of a stream. */
  readonly maxEventGapMs: Millis | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Upstreams to which one request may be sent at most. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** One kind of accelerator. */
export interface Accelerator {
  readonly name: string;
  readonly memoryMb: number;
  /** Multiple of the service's step time. */
  readonly stepFactor: number;
  /** Multiple of the service's time to read a prompt token. */
  readonly readFactor: number;
}

/** Delay between two data centres, one way. */
export interface Delay {
  readonly from: DataCentreId;
  readonly to: DataCentreId;
  readonly ms: Millis;
}

/** Timing and memory of a service whose replicas hold ranges of a model's layers. */
export interface Engine {
  /** Requests that one upstream takes as the first of a path. */
  readonly slots: number;
  readonly layerCount: number;
  readonly layerMb: number;
  /** Bytes of cache for each token over all layers. */
  readonly kvBytesPerToken: number;
  /** Bytes passed between two stages for each token. */
  readonly activationBytesPerToken: number;
  /** Bandwidth between two data centres, shared by all, in Mbit/s. */
  readonly interDataCentreMbps: number;
  readonly stepMs: Millis;
  readonly stepMsPerSequence: Millis;
  readonly stepMsPerThousandTokens: Millis;
  readonly prefillTokensPerSecond: number;
  /** Time to load all layers from the weight store, in seconds. */
  readonly loadSeconds: number;
  /** Loads that the weight store serves at full speed. */
  readonly maxConcurrentLoads: number;
  /** How long a report of an upstream lags. */
  readonly reportLagMs: Millis;
  /** Mean tokens of a prompt and of an answer. */
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly delays: readonly Delay[];
  readonly accelerators: readonly Accelerator[];
}

/** A service that routes name. */
export interface Service {
  readonly id: ServiceId;
  /** Connections that one upstream accepts from all callers. */
  readonly maxConnections: number;
  readonly engine: Engine | undefined;
}

/** A client account: whoever holds one of its keys. */
export interface Account {
  readonly id: AccountId;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One configuration; a higher version replaces it whole. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly Account[];
  readonly limits: CallerLimits;
}
