/** Runs requests on chains of engine stages. */

import type { GrantId, ModelId, RequestId, UpstreamId } from '@tanagercart/base';

/** One stage as the engines address it. */
export interface ChainStage {
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly from: number;
  readonly to: number;
}

/** Everything that the head of a chain needs to run one attempt. */
export interface RunOrder {
  readonly request: RequestId;
  readonly attempt: number;
  readonly grant: GrantId;
  /** Fencing number of the grant. */
  readonly fence: number;
  readonly priority: number;
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  /** Tokens that earlier attempts passed on; the run goes on after them. */
  readonly passed: readonly string[];
  readonly seed: number;
  readonly maxTokens: number;
  readonly chain: readonly ChainStage[];
}

/** That a stage ran its layers for one token. */
export interface StageReceipt {
  readonly upstream: UpstreamId;
  readonly from: number;
  readonly to: number;
}

/** One token as an engine streams it. */
export interface TokenFrame {
  readonly request: RequestId;
  readonly attempt: number;
  /** Place of the token in the whole answer, from 0. */
  readonly index: number;
  readonly token: string;
  readonly receipts: readonly StageReceipt[];
}

/** Why the engine stopped. */
export type FinishReason = 'stop' | 'length';

/** Why an attempt ended early. */
export type RunFailure =
  /** No connection to the head: nothing was run. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The engine refused: nothing was run. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The stream broke; `suspect` is the stage that the engines blame, if they know. */
  | { readonly kind: 'broken'; readonly detail: string; readonly suspect: UpstreamId | undefined }
  /** The engine dropped the attempt, as it was told. */
  | { readonly kind: 'cancelled'; readonly detail: string }
  /** No frame arrived in time. */
  | { readonly kind: 'stalled'; readonly detail: string };

/** What a run yields; `end` or `failed` comes last, and once. */
export type RunEvent =
  /** Tokens that arrived together, at least one. */
  | { readonly kind: 'tokens'; readonly frames: readonly TokenFrame[] }
  | { readonly kind: 'end'; readonly reason: FinishReason }
  | { readonly kind: 'failed'; readonly failure: RunFailure };

/** Runs and cancels attempts on engines. */
export interface EngineClient {
  /** Runs an attempt; aborting `signal` ends the stream. Never throws. */
  run(order: RunOrder, signal: AbortSignal): AsyncIterable<RunEvent>;
  /** Tells every stage of a chain to drop an attempt; its failure is harmless. */
  cancel(order: RunOrder): Promise<void>;
}
