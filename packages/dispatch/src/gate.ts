/** Bounds how many replicas run equal requests that have not proved harmless. */

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

/** When a waiting attempt asks again, in milliseconds. */
const waitRetryMs: Millis = 50;

/** Time for which a fingerprint that was answered whole counts as harmless, in milliseconds. */
const harmlessMs: Millis = 10 * 60_000;

/** Fingerprints that are remembered as harmless at most. */
const maxHarmless = 50_000;

/** Longest time for which a cleared attempt is kept that never settles, in milliseconds. */
const maxHeldMs: Millis = 30 * 60_000;

/** What a gate needs. */
export interface GateOptions {
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly isUp: (node: NodeId) => boolean;
}

interface ClearedAttempt {
  readonly node: NodeId;
  readonly request: RequestId;
  readonly replica: ReplicaId;
  readonly since: Millis;
}

interface Crash {
  /** Log index of the strike; undefined while it is not recorded. */
  readonly index: number | undefined;
  readonly at: Millis;
}

/** The gate of the fingerprints that fall to one node. */
export class Gate {
  private readonly clearedAttempts = new Map<Digest, Map<string, ClearedAttempt>>();
  private readonly crashes = new Map<Digest, Crash[]>();
  private readonly harmless = new Map<Digest, Millis>();

  private constructor(private readonly o: GateOptions) {}

  static create(options: GateOptions): Gate {
    const gate = new Gate(options);
    options.transport.serve('clear', async (from, call) => gate.clear(from, call));
    options.transport.serve('settle', async (_, call) => gate.settle(call));
    return gate;
  }

  private clear(node: NodeId, call: ClearCall): ClearReply {
    const { fingerprint, request, holder, replica } = call;
    const struck = this.strikeCount(fingerprint);
    if (struck >= strikeLimit) return { kind: 'quarantined' };
    if (struck === 0 && this.isHarmless(fingerprint)) return { kind: 'cleared' };
    // A deputy does not see what the first gate cleared: it lets no suspect run.
    if (call.deputy && struck > 0) return { kind: 'wait', againMs: waitRetryMs };
    const running = this.liveAttempts(fingerprint);
    if (!canClear(running, call, struck)) return { kind: 'wait', againMs: waitRetryMs };
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

  /** Strikes in the shared state, and those that this node does not see there yet. */
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

/** Whether one more attempt keeps the replicas at risk within the limit. */
function canClear(
  running: ReadonlyMap<string, ClearedAttempt>,
  call: ClearCall,
  struck: number,
): boolean {
  const elsewhere = [...running.values()].filter((h) => h.replica !== call.replica);
  // An attempt that is being cancelled does not hold up the next one of its own request.
  if (elsewhere.some((h) => h.request !== call.request)) return false;
  const replicas = new Set(elsewhere.map((h) => h.replica));
  return struck + replicas.size < strikeLimit;
}
