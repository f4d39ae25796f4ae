/**
 * The entry's side of the gate: asks gates to clear attempts, reports how the attempts ended, and
 * records crashes in the shared state before the request is retried.
 */

import type {
  Clock,
  Digest,
  Logger,
  Metrics,
  Millis,
  NodeId,
  RequestId,
  UpstreamId,
} from '@tanagercart/base';
import type { ClearedEnd, ClearReply, Grant, Transport } from '@tanagercart/protocol';
import type { CommandProposer, SharedState } from '@tanagercart/state';
import type { RequestProgress } from './progress.js';

/** Timeout of a call to a gate, and pause before a report is repeated, in milliseconds. */
const gateTimeoutMs: Millis = 500;

/** Number of gates that are asked in turn: the gate of the fingerprint and its deputy. */
const maxGates = 2;

/** Timeout for a proposal that records or removes strikes, in milliseconds. */
const strikeTimeoutMs: Millis = 1000;

/** Number of times that the end of an attempt is reported until the gate confirms it. */
const maxSettleAttempts = 3;

/** Dependencies of a gate client. */
export interface GateClientOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly proposals: CommandProposer;
  readonly state: SharedState;
  /** Nodes in the order in which they act as the gate of a fingerprint. */
  readonly gates: (fingerprint: Digest) => readonly NodeId[];
}

/** Result of `clear`. `unreachable` means that no gate replied. */
export type ClearResult =
  | { readonly kind: 'cleared'; readonly gate: NodeId; readonly holder: string }
  | Exclude<ClearReply, { readonly kind: 'cleared' }>
  | { readonly kind: 'unreachable' };

/** Clears the attempts of one node with the gates of their fingerprints. */
export class GateClient {
  private constructor(private readonly o: GateClientOptions) {}

  static create(options: GateClientOptions): GateClient {
    return new GateClient(options);
  }

  /** Asks the gate of a fingerprint, or its deputy, whether an attempt may run under `grant`. */
  async clear(fingerprint: Digest, request: RequestId, grant: Grant): Promise<ClearResult> {
    const holder = grant.id;
    const gates = this.o.gates(fingerprint).slice(0, maxGates);
    for (const [position, gate] of gates.entries()) {
      const call = { fingerprint, request, holder, replica: grant.replica, deputy: position > 0 };
      const reply = await this.o.transport.call(gate, 'clear', call, { timeoutMs: gateTimeoutMs });
      if (reply.isErr()) {
        this.o.metrics.count('gate.unreachable');
        continue;
      }
      return reply.value.kind === 'cleared' ? { kind: 'cleared', gate, holder } : reply.value;
    }
    return { kind: 'unreachable' };
  }

  /** Reports to the gate how a cleared attempt ended. */
  async settle(fingerprint: Digest, gate: NodeId, holder: string, end: ClearedEnd): Promise<void> {
    const call = { fingerprint, holder, end };
    for (let n = 0; n < maxSettleAttempts; n += 1) {
      const options = { timeoutMs: gateTimeoutMs };
      const reply = await this.o.transport.call(gate, 'settle', call, options);
      if (reply.isOk()) return;
      await this.o.clock.sleep(gateTimeoutMs);
    }
  }

  /** Removes the strikes of a request that received a whole answer. */
  async absolve(fingerprint: Digest): Promise<void> {
    const at = this.o.clock.wall();
    if (this.o.state.quarantine.strikesOf(fingerprint, at).length === 0) return;
    await this.o.proposals.propose({ kind: 'absolve', fingerprint, at }, strikeTimeoutMs);
  }

  /**
   * Records that `upstream` crashed while it ran the request. Returns the log index of the strike,
   * or undefined if it was not recorded.
   */
  async recordStrike(
    { request, fingerprint }: RequestProgress,
    upstream: UpstreamId,
  ): Promise<number | undefined> {
    const at = this.o.clock.wall();
    const command = { kind: 'strike', fingerprint, upstream, at } as const;
    this.o.metrics.count('strike');
    const committed = await this.o.proposals.propose(command, strikeTimeoutMs);
    if (committed.isOk()) return committed.value.index;
    const fields = { request: request.id, account: request.account.id };
    this.o.logger.warn('Failed to record a strike.', { ...fields, fingerprint, upstream });
    return undefined;
  }
}
