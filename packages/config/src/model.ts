/** The types of a configuration: routes, services, client accounts and limits. */

import type { AccountId, Branded, DataCentreId, Millis, ServiceId } from '@tanagercart/base';

/** Identifies a route. */
export type RouteId = Branded<string, 'RouteId'>;

export const RouteId = (s: string) => s as RouteId;

/** How often a request may run, and whether its response is a stream. */
export type CallKind =
  /** May run more than once. */
  | 'idempotent'
  /** Runs at most once. */
  | 'non-idempotent'
  /** Responds with a stream of events; runs at most once. */
  | 'stream'
  /** Responds with a stream that another run may resume after any event. */
  | 'resumable-stream';

/** Whether the response is a stream of events. */
export function isStreamKind(kind: CallKind): boolean {
  return kind === 'stream' || kind === 'resumable-stream';
}

/** The share of a route's requests that one service receives, relative to the other weights. */
export interface TrafficShare {
  readonly service: ServiceId;
  readonly weight: number;
}

/** The services for requests with a given host and path prefix, with their timeouts and targets. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: CallKind;
  /** Longest time that a request may wait for its response. */
  readonly timeoutMs: Millis;
  /** Target latency of a response, or of the first event of a stream. */
  readonly latencyTargetMs: Millis;
  /** Target for the longest gap between two events of a stream; undefined if there is none. */
  readonly maxEventGapMs: Millis | undefined;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Largest number of upstreams to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether callers may send requests without a key. */
  readonly isPublic: boolean;
}

/** A kind of accelerator. */
export interface Accelerator {
  readonly name: string;
  readonly memoryMb: number;
  /** Decode step time relative to that of the service. */
  readonly stepFactor: number;
  /** Prefill time of a prompt token relative to that of the service. */
  readonly readFactor: number;
}

/** One-way network delay between two data centres. */
export interface Delay {
  readonly from: DataCentreId;
  readonly to: DataCentreId;
  readonly ms: Millis;
}

/**
 * Timing and memory of a service that runs a model as a pipeline: each upstream is a stage that
 * holds a range of the layers.
 */
export interface Engine {
  /** Requests that one upstream accepts concurrently as the first stage of a path. */
  readonly slots: number;
  readonly layerCount: number;
  readonly layerMb: number;
  /** Size of the KV cache for one token, over all layers. */
  readonly kvBytesPerToken: number;
  /** Bytes sent from one stage to the next for each token. */
  readonly activationBytes: number;
  /** Bandwidth between two data centres, shared by all transfers, in Mbit/s. */
  readonly interDataCentreMbps: number;
  /** Base time of a decode step, to which each sequence and each 1000 tokens of context add. */
  readonly stepMs: Millis;
  readonly stepMsPerSequence: Millis;
  readonly stepMsPerThousandTokens: Millis;
  readonly prefillTokensPerSecond: number;
  /** Time to load all layers from the weight store. */
  readonly loadSeconds: number;
  /** Number of concurrent loads that the weight store serves at full speed. */
  readonly maxConcurrentLoads: number;
  /** Delay with which a load report of an upstream arrives. */
  readonly reportLagMs: Millis;
  /** Mean number of tokens in a prompt and in a response. */
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly delays: readonly Delay[];
  readonly accelerators: readonly Accelerator[];
}

/** A service to which routes send requests. */
export interface Service {
  readonly id: ServiceId;
  /** Largest number of connections that one upstream accepts, over all entry nodes. */
  readonly maxConnections: number;
  readonly engine: Engine | undefined;
}

/** A client account, which is identified by any of its keys. */
export interface Account {
  readonly id: AccountId;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** A complete configuration, which is replaced as a whole by one with a higher version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /**
   * The accounts whose keys requests need; undefined if requests need no key. While it is empty, no
   * key is valid.
   */
  readonly accounts: readonly Account[] | undefined;
  readonly limits: CallerLimits;
}
