/** The entry's side of the gate: clears attempts, and records crashes before anything is retried. */

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
import type { Dispatching } from './dispatching.js';

/** How long a gate may take to answer, in milliseconds. */
const gateTimeoutMs: Millis = 500;

/** Gates that are asked in turn at most. */
const gateLimit = 2;

/** How long recording a strike may take, in milliseconds. */
const strikeTimeoutMs: Millis = 1000;

/** Times that a gate is told of an end that it did not confirm. */
const settleLimit = 3;

/** What clearing needs. */
export interface ClearanceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly proposals: CommandProposer;
  readonly state: SharedState;
  /** Nodes that may be the gate of a fingerprint, first the one that is. */
  readonly gates: (fingerprint: Digest) => readonly NodeId[];
}

/** What became of the wish to run an attempt. */
export type Cleared =
  | { readonly kind: 'cleared'; readonly gate: NodeId; readonly holder: string }
  | Exclude<ClearReply, { readonly kind: 'cleared' }>
  | { readonly kind: 'unreachable' };

/** Clears the attempts of one node. */
export class Clearance {
  private constructor(private readonly o: ClearanceOptions) {}

  static create(options: ClearanceOptions): Clearance {
    return new Clearance(options);
  }

  /** Asks the gate of a fingerprint whether an attempt may run under `grant`. */
  async ask(fingerprint: Digest, request: RequestId, grant: Grant): Promise<Cleared> {
    const holder = grant.id;
    const gates = this.o.gates(fingerprint).slice(0, gateLimit);
    for (const [place, gate] of gates.entries()) {
      const call = { fingerprint, request, holder, replica: grant.replica, deputy: place > 0 };
      const reply = await this.o.transport.call(gate, 'clear', call, { timeoutMs: gateTimeoutMs });
      if (reply.isErr()) {
        this.o.metrics.count('gate.unreachable');
        continue;
      }
      return reply.value.kind === 'cleared' ? { kind: 'cleared', gate, holder } : reply.value;
    }
    return { kind: 'unreachable' };
  }

  /** Tells the gate how a cleared attempt ended. */
  async settle(fingerprint: Digest, gate: NodeId, holder: string, end: ClearedEnd): Promise<void> {
    const call = { fingerprint, holder, end };
    for (let n = 0; n < settleLimit; n += 1) {
      const options = { timeoutMs: gateTimeoutMs };
      const reply = await this.o.transport.call(gate, 'settle', call, options);
      if (reply.isOk()) return;
      await this.o.clock.sleep(gateTimeoutMs);
    }
  }

  /** Drops the strikes of a request that was answered whole. */
  async absolve(fingerprint: Digest): Promise<void> {
    const at = this.o.clock.wall();
    if (this.o.state.quarantine.strikesOf(fingerprint, at).length === 0) return;
    await this.o.proposals.propose({ kind: 'absolve', fingerprint, at }, strikeTimeoutMs);
  }

  /** Records that `upstream` crashed; yields the log index, or nothing where it is not recorded. */
  async strike({ g, fingerprint }: Dispatching, upstream: UpstreamId): Promise<number | undefined> {
    const at = this.o.clock.wall();
    const command = { kind: 'strike', fingerprint, upstream, at } as const;
    this.o.metrics.count('strike');
    const committed = await this.o.proposals.propose(command, strikeTimeoutMs);
    if (committed.isOk()) return committed.value.index;
    const about = { request: g.id, account: g.account.id };
    this.o.logger.warn('A strike was not recorded.', { ...about, fingerprint, upstream });
    return undefined;
  }
}
