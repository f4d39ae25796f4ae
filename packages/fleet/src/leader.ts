/** Carries a call to the leader of the voters, wherever it is. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { CallOf, ExchangeKind, ReplyOf, Transport } from '@tanagercart/protocol';

/** Exchanges that only the leader answers. */
export type LeaderExchange = Extract<ExchangeKind, 'watch' | 'beat' | 'submit' | 'read' | 'strike'>;

/** Why no leader answered. */
export interface NoLeader {
  readonly kind: 'no-leader';
  /** Whether some node may have carried the call out. */
  readonly maybeDone: boolean;
}

/** How long one node may take to answer a call that it does not hold back. */
const answerMs: Millis = 700;

/** Pause before all nodes are asked again. */
const pauseMs: Millis = 60;

/** What is needed to find the leader. */
export interface LeaderLinkOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** Nodes that may lead, the most likely first. */
  readonly candidates: () => readonly NodeId[];
}

/** Remembers who answered last as the leader, and who did not answer. */
export class LeaderLink {
  private last: NodeId | undefined;
  /** When a node failed to answer last: those that did so lately are asked after the others. */
  private readonly failedAt = new Map<NodeId, Millis>();

  private constructor(private readonly o: LeaderLinkOptions) {}

  static create(options: LeaderLinkOptions): LeaderLink {
    return new LeaderLink(options);
  }

  /** The node that answered as the leader last. */
  get leader(): NodeId | undefined {
    return this.last;
  }

  /**
   * Asks until the leader has answered, for `withinMs` at most; the call must be idempotent. A call
   * that the leader may hold back for `holdMs` goes to one node only.
   */
  async call<K extends LeaderExchange>(
    kind: K,
    call: CallOf<K>,
    withinMs: Millis,
    holdMs: Millis = 0,
  ): Promise<Result<Exclude<ReplyOf<K>, { kind: 'not-leader' }>, NoLeader>> {
    const { clock } = this.o;
    const deadline = clock.now() + withinMs;
    let maybeDone = false;
    let tried = new Set<NodeId>();
    for (;;) {
      const node = this.next(tried);
      if (node === undefined) {
        if (clock.now() + pauseMs >= deadline) return err({ kind: 'no-leader', maybeDone });
        await clock.sleep(pauseMs);
        tried = new Set();
        continue;
      }
      tried.add(node);
      const timeoutMs = Math.min(answerMs, Math.max(1, deadline - clock.now())) + holdMs;
      const reply = await this.o.transport.call(node, kind, call, { timeoutMs });
      if (reply.isErr()) {
        if (reply.error.kind !== 'unreachable') maybeDone = true;
        if (this.last === node) this.last = undefined;
        this.failedAt.set(node, clock.now());
        if (holdMs > 0) return err({ kind: 'no-leader', maybeDone });
      } else if (reply.value.kind !== 'not-leader') {
        this.last = node;
        this.failedAt.delete(node);
        return ok(reply.value as Exclude<ReplyOf<K>, { kind: 'not-leader' }>);
      } else {
        this.last = 'leader' in reply.value ? reply.value.leader : undefined;
        if (this.last !== undefined && tried.has(this.last)) this.last = undefined;
      }
      if (clock.now() >= deadline) return err({ kind: 'no-leader', maybeDone });
    }
  }

  private next(tried: ReadonlySet<NodeId>): NodeId | undefined {
    if (this.last !== undefined && !tried.has(this.last)) return this.last;
    const failedAt = (n: NodeId) => this.failedAt.get(n) ?? -Infinity;
    const left = this.o.candidates().filter((n) => !tried.has(n));
    return [...left].sort((a, b) => failedAt(a) - failedAt(b))[0];
  }
}
