/** Commands of the replicated state, and their outcomes. */

import type {
  AccountId,
  Digest,
  Millis,
  ModelId,
  NodeId,
  ReplicaId,
  ServiceId,
  UpstreamId,
} from '@tanagercart/base';
import type { NodeAddress } from '@tanagercart/protocol';
import type { NoteProblem, ReleaseNote } from '@tanagercart/release';

/** An upstream as it announced itself. */
export interface Upstream {
  readonly id: UpstreamId;
  /** Differs for each start of the upstream. */
  readonly incarnation: string;
  readonly url: string;
  readonly dataCentre: string;
  readonly role: UpstreamRole;
}

/** What an upstream serves. */
export type UpstreamRole =
  | { readonly kind: 'stage'; readonly stage: Stage }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A part of a model on one accelerator. */
export interface Stage {
  readonly model: ModelId;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** First layer held, inclusive. */
  readonly from: number;
  /** Last layer held, exclusive. */
  readonly to: number;
  readonly accelerator: string;
  /** Tokens per second that the stage can pass on when it is full. */
  readonly tokensPerSecond: number;
  /** Sequences that run at once. */
  readonly slots: number;
}

/** A chain of stages that hold every layer of a model once. */
export interface Replica {
  readonly id: ReplicaId;
  readonly model: ModelId;
  /** Stages in order of layers. */
  readonly stages: readonly UpstreamId[];
}

/** Names an order: one key of one account. */
export interface OrderKey {
  readonly account: AccountId;
  readonly key: string;
}

/** How an order ended. */
export type OrderOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** One change of the replicated state. */
export type Command =
  | {
      readonly kind: 'accept-release';
      readonly note: ReleaseNote;
      readonly digest: Digest;
      readonly at: Millis;
    }
  | { readonly kind: 'node-up'; readonly node: NodeAddress; readonly incarnation: string }
  | { readonly kind: 'node-down'; readonly node: NodeId; readonly incarnation: string }
  | { readonly kind: 'upstream-up'; readonly upstream: Upstream }
  | { readonly kind: 'upstream-down'; readonly upstream: UpstreamId; readonly incarnation: string }
  | { readonly kind: 'plan'; readonly model: ModelId; readonly replicas: readonly Replica[] }
  | {
      readonly kind: 'claim-order';
      readonly order: OrderKey;
      readonly digest: Digest;
      readonly claimant: string;
      readonly at: Millis;
    }
  | {
      readonly kind: 'settle-order';
      readonly order: OrderKey;
      readonly claimant: string;
      readonly outcome: OrderOutcome;
    }
  | {
      readonly kind: 'strike';
      readonly fingerprint: Digest;
      readonly upstream: UpstreamId;
      readonly at: Millis;
    }
  | { readonly kind: 'lift-quarantine'; readonly fingerprint: Digest };

/** What a command came to. */
export type Outcome =
  | { readonly kind: 'done' }
  | {
      readonly kind: 'release-accepted';
      readonly number: number;
      readonly index: number;
      readonly resend: boolean;
    }
  | { readonly kind: 'release-conflict'; readonly number: number; readonly inForce: Digest }
  | { readonly kind: 'release-invalid'; readonly problems: readonly NoteProblem[] }
  | { readonly kind: 'order-claimed' }
  | { readonly kind: 'order-known'; readonly outcome: OrderOutcome | undefined }
  | { readonly kind: 'order-conflict' }
  | { readonly kind: 'stale' };
