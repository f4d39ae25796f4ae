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
const againMs: Millis = 50;

/** Time for which a fingerprint that was answered whole counts as harmless, in milliseconds. */
const provenMs: Millis = 10 * 60_000;

/** Fingerprints that are remembered as harmless at most. */
const provenLimit = 50_000;

/** Longest time for which a cleared attempt is kept that never settles, in milliseconds. */
const heldMs: Millis = 30 * 60_000;

/** What a gate needs. */
export interface GateOptions {
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly isUp: (node: NodeId) => boolean;
}

interface Held {
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
  private readonly held = new Map<Digest, Map<string, Held>>();
  private readonly crashes = new Map<Digest, Crash[]>();
  private readonly proven = new Map<Digest, Millis>();

  private constructor(private readonly o: GateOptions) {}

  static create(options: GateOptions): Gate {
    const gate = new Gate(options);
    options.transport.serve('clear', async (from, call) => gate.clear(from, call));
    options.transport.serve('settle', async (_, call) => gate.settle(call));
    return gate;
  }

  private clear(node: NodeId, call: ClearCall): ClearReply {
    const { fingerprint, request, holder, replica } = call;
    const struck = this.struck(fingerprint);
    if (struck >= strikeLimit) return { kind: 'quarantined' };
    if (struck === 0 && this.isProven(fingerprint)) return { kind: 'cleared' };
    // A deputy does not see what the first gate cleared: it lets no suspect run.
    if (call.deputy && struck > 0) return { kind: 'wait', againMs };
    const running = this.running(fingerprint);
    if (!mayJoin(running, call, struck)) return { kind: 'wait', againMs };
    running.set(holder, { node, request, replica, since: this.o.clock.now() });
    this.held.set(fingerprint, running);
    return { kind: 'cleared' };
  }

  private settle(call: SettleCall): SettleReply {
    const { fingerprint, holder, end } = call;
    const running = this.held.get(fingerprint);
    const known = running?.delete(holder) ?? false;
    if (running?.size === 0) this.held.delete(fingerprint);
    switch (end.kind) {
      case 'complete':
        this.prove(fingerprint);
        break;
      case 'crashed':
        this.noteCrash(fingerprint, end.index);
        break;
      case 'ended':
        break;
      default:
        unreachable(end);
    }
    return { known };
  }

  /** Strikes in the shared state, and those that this node does not see there yet. */
  private struck(fingerprint: Digest): number {
    const { state, clock } = this.o;
    const now = clock.now();
    const open = (this.crashes.get(fingerprint) ?? []).filter(
      (c) => now - c.at < quarantineMs && (c.index === undefined || c.index > state.index),
    );
    if (open.length === 0) this.crashes.delete(fingerprint);
    else this.crashes.set(fingerprint, open);
    return state.quarantine.strikesOf(fingerprint, clock.wall()).length + open.length;
  }

  private running(fingerprint: Digest): Map<string, Held> {
    const running = this.held.get(fingerprint) ?? new Map<string, Held>();
    const oldest = this.o.clock.now() - heldMs;
    for (const [holder, { node, since }] of running) {
      if (!this.o.isUp(node) || since < oldest) running.delete(holder);
    }
    return running;
  }

  private noteCrash(fingerprint: Digest, index: number | undefined): void {
    this.proven.delete(fingerprint);
    const known = this.crashes.get(fingerprint) ?? [];
    this.crashes.set(fingerprint, [...known, { index, at: this.o.clock.now() }]);
  }

  private prove(fingerprint: Digest): void {
    this.crashes.delete(fingerprint);
    this.proven.delete(fingerprint);
    this.proven.set(fingerprint, this.o.clock.now() + provenMs);
    const [oldest] = this.proven.keys();
    if (this.proven.size > provenLimit && oldest) this.proven.delete(oldest);
  }

  private isProven(fingerprint: Digest): boolean {
    return (this.proven.get(fingerprint) ?? 0) > this.o.clock.now();
  }
}

/** Whether one more attempt keeps the replicas at risk within the limit. */
function mayJoin(running: ReadonlyMap<string, Held>, call: ClearCall, struck: number): boolean {
  const elsewhere = [...running.values()].filter((h) => h.replica !== call.replica);
  // An attempt that is being cancelled does not hold up the next one of its own request.
  if (elsewhere.some((h) => h.request !== call.request)) return false;
  const replicas = new Set(elsewhere.map((h) => h.replica));
  return struck + replicas.size < strikeLimit;
}
