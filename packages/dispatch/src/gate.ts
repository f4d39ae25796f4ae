/**
 * The gate of a fingerprint. Protects against poison requests, which crash the upstreams that run
 * them. Until a request has completed once, equal requests run on one replica at a time, and the
 * replicas at risk plus the strikes for crashes stay within `strikeLimit`.
 */

import { unreachable } from '@tanagercart/base';
import type { Clock, Digest, Millis, NodeId, ReplicaId, RequestId } from '@tanagercart/base';
import type {
  ClearCall,
  ClearReply,
  SettleCall,
  SettleReply,
  Transport,
} from '@tanagercart/protocol';
import { quarantineMs, strikeLimit } from '@tanagercart/state';
import type { SharedState } from '@tanagercart/state';

/** Time after which a waiting attempt should ask again, in milliseconds. */
const waitRetryMs: Millis = 50;

/** Time for which a fingerprint counts as harmless after a whole answer, in milliseconds. */
const harmlessMs: Millis = 10 * 60_000;

/** Bounds the memory for harmless fingerprints. The oldest one is dropped first. */
const maxHarmless = 50_000;

/** Time after which a cleared attempt that never settled is dropped, in milliseconds. */
const maxHeldMs: Millis = 30 * 60_000;

/** Dependencies of a gate. */
export interface GateOptions {
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Whether a node is up. Attempts of nodes that are down are dropped. */
  readonly isUp: (node: NodeId) => boolean;
}

/** An attempt that was cleared and has not settled yet. */
interface ClearedAttempt {
  readonly node: NodeId;
  readonly request: RequestId;
  readonly replica: ReplicaId;
  readonly since: Millis;
}

/** A crash that an entry reported, whose strike this node may not have applied yet. */
interface Crash {
  /** Log index of the strike, or undefined if it could not be recorded. */
  readonly index: number | undefined;
  readonly at: Millis;
}

/** Gate of the fingerprints that are assigned to one node. */
export class Gate {
  /** Cleared attempts by fingerprint and holder. */
  private readonly clearedAttempts = new Map<Digest, Map<string, ClearedAttempt>>();
  private readonly crashes = new Map<Digest, Crash[]>();
  /** Harmless fingerprints, with the time until which they count as such. */
  private readonly harmless = new Map<Digest, Millis>();

  private constructor(private readonly o: GateOptions) {}

  /** Creates a gate and serves the calls of entries to it. */
  static create(options: GateOptions): Gate {
    const gate = new Gate(options);
    options.transport.serve('clear', async (from, call) => gate.clear(from, call));
    options.transport.serve('settle', async (_, call) => gate.settle(call));
    return gate;
  }

  private clear(node: NodeId, call: ClearCall): ClearReply {
    const { fingerprint, request, holder, replica } = call;
    const strikes = this.strikeCount(fingerprint);
    if (strikes >= strikeLimit) return { kind: 'quarantined' };
    if (strikes === 0 && this.isHarmless(fingerprint)) return { kind: 'cleared' };
    // A deputy does not know which attempts the gate cleared, so it clears no suspect request.
    if (call.deputy && strikes > 0) return { kind: 'wait', againMs: waitRetryMs };
    const running = this.liveAttempts(fingerprint);
    if (!canClear(running, call, strikes)) return { kind: 'wait', againMs: waitRetryMs };
    running.set(holder, { node, request, replica, since: this.o.clock.now() });
    this.clearedAttempts.set(fingerprint, running);
    return { kind: 'cleared' };
  }

  private settle(call: SettleCall): SettleReply {
    const { fingerprint, holder, end } = call;
    const running = this.clearedAttempts.get(fingerprint);
    const known = running?.delete(holder) ?? false;
    if (running?.size === 0) this.clearedAttempts.delete(fingerprint);
    switch (end.kind) {
      case 'complete':
        this.markHarmless(fingerprint);
        break;
      case 'crashed':
        this.recordCrash(fingerprint, end.index);
        break;
      case 'ended':
        break;
      default:
        unreachable(end);
    }
    return { known };
  }

  /**
   * Number of strikes of a fingerprint: those in the shared state, and the reported crashes that
   * are not recorded there or that this node has not applied yet.
   */
  private strikeCount(fingerprint: Digest): number {
    const { state, clock } = this.o;
    const now = clock.now();
    const pending = (this.crashes.get(fingerprint) ?? []).filter(
      (c) => now - c.at < quarantineMs && (c.index === undefined || c.index > state.index),
    );
    if (pending.length === 0) this.crashes.delete(fingerprint);
    else this.crashes.set(fingerprint, pending);
    return state.quarantine.strikesOf(fingerprint, clock.wall()).length + pending.length;
  }

  /** Cleared attempts of a fingerprint, after those that can no longer settle are dropped. */
  private liveAttempts(fingerprint: Digest): Map<string, ClearedAttempt> {
    const running = this.clearedAttempts.get(fingerprint) ?? new Map<string, ClearedAttempt>();
    const oldest = this.o.clock.now() - maxHeldMs;
    for (const [holder, { node, since }] of running) {
      if (!this.o.isUp(node) || since < oldest) running.delete(holder);
    }
    return running;
  }

  private recordCrash(fingerprint: Digest, index: number | undefined): void {
    this.harmless.delete(fingerprint);
    const known = this.crashes.get(fingerprint) ?? [];
    this.crashes.set(fingerprint, [...known, { index, at: this.o.clock.now() }]);
  }

  private markHarmless(fingerprint: Digest): void {
    this.crashes.delete(fingerprint);
    this.harmless.delete(fingerprint);
    this.harmless.set(fingerprint, this.o.clock.now() + harmlessMs);
    const [oldest] = this.harmless.keys();
    if (this.harmless.size > maxHarmless && oldest) this.harmless.delete(oldest);
  }

  private isHarmless(fingerprint: Digest): boolean {
    return (this.harmless.get(fingerprint) ?? 0) > this.o.clock.now();
  }
}

/** Whether strikes and replicas at risk stay within the limit if one more attempt is cleared. */
function canClear(
  running: ReadonlyMap<string, ClearedAttempt>,
  call: ClearCall,
  strikes: number,
): boolean {
  const elsewhere = [...running.values()].filter((h) => h.replica !== call.replica);
  // A cancelled attempt that has not settled yet must not block a retry of the same request.
  if (elsewhere.some((h) => h.request !== call.request)) return false;
  const replicas = new Set(elsewhere.map((h) => h.replica));
  return strikes + replicas.size < strikeLimit;
}
