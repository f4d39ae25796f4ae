/** The interface to engines, which run a request on a chain of pipeline stages. */

import type { GrantId, ModelId, RequestId, UpstreamId } from '@tanagercart/base';

/** One stage of a chain, with its layers from `from` up to but excluding `to`. */
export interface ChainStage {
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly from: number;
  readonly to: number;
}

/** An attempt as it is sent to the first stage of its chain. */
export interface RunOrder {
  readonly request: RequestId;
  readonly attempt: number;
  readonly grant: GrantId;
  /** Fencing token of the grant. */
  readonly fence: number;
  readonly priority: number;
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  /** Tokens that earlier attempts passed on to the caller; the engine continues after them. */
  readonly passed: readonly string[];
  readonly seed: number;
  readonly maxTokens: number;
  readonly chain: readonly ChainStage[];
}

/** Confirms that a stage ran its layers for one token. */
export interface StageReceipt {
  readonly upstream: UpstreamId;
  readonly from: number;
  readonly to: number;
}

/** One token as an engine streams it. */
export interface TokenFrame {
  readonly request: RequestId;
  readonly attempt: number;
  /** Position of the token in the whole answer, from 0. */
  readonly index: number;
  readonly token: string;
  readonly receipts: readonly StageReceipt[];
}

/** Why the engine finished an answer. */
export type FinishReason = 'stop' | 'length';

/** Why an attempt failed. */
export type RunFailure =
  /** There was no connection to the first stage: nothing was run. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The engine refused the attempt: nothing was run. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The stream broke; `suspect` is the stage that the engine suspects, if it reports one. */
  | { readonly kind: 'broken'; readonly detail: string; readonly suspect: UpstreamId | undefined }
  /** The engine dropped the attempt as requested. */
  | { readonly kind: 'cancelled'; readonly detail: string }
  /** No frame arrived within the timeout. */
  | { readonly kind: 'stalled'; readonly detail: string };

/** An event of a run. The last event, and only that, is `end` or `failed`. */
export type RunEvent =
  /** One or more tokens that arrived together. */
  | { readonly kind: 'tokens'; readonly frames: readonly TokenFrame[] }
  | { readonly kind: 'end'; readonly reason: FinishReason }
  | { readonly kind: 'failed'; readonly failure: RunFailure };

/** Runs and cancels attempts on engines. */
export interface EngineClient {
  /** Runs an attempt and yields its events. Aborting `signal` ends the stream. Never throws. */
  run(order: RunOrder, signal: AbortSignal): AsyncIterable<RunEvent>;
  /** Asks every stage of the chain to drop an attempt, on a best-effort basis. Never throws. */
  cancel(order: RunOrder): Promise<void>;
}
