/** The follower's side of configuration: a task that keeps the state and the lease up to date. */

import type { Clock, Logger, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, NodeAddress, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { ConfigurationLease, LeaseTiming } from './lease.js';

/** Pause before another parent is tried, in milliseconds. */
const searchPauseMs = 50;

/** What a follower needs. */
export interface FollowOptions {
  readonly self: NodeAddress;
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly lease: ConfigurationLease;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
  readonly draining: () => boolean;
  /** Nodes that may know whom to follow. */
  readonly seeds: () => readonly NodeId[];
}

/** What came of one exchange with a parent. */
type Step =
  | { readonly kind: 'taken' }
  | { readonly kind: 'elsewhere'; readonly parent: NodeId | undefined }
  | { readonly kind: 'lost' };

/** Follows a parent until `signal` aborts. */
export async function follow(o: FollowOptions, signal: AbortSignal): Promise<void> {
  let parent: NodeId | undefined;
  let turn = 0;
  while (!signal.aborted) {
    const seeds = o.seeds();
    const target = parent ?? seeds[turn % Math.max(1, seeds.length)];
    turn += 1;
    const step: Step = target ? await followOnce(o, target, signal) : { kind: 'lost' };
    if (step.kind === 'taken') {
      parent = target;
      continue;
    }
    if (parent) {
      o.logger.info('Looking for another parent.', { parent });
    }
    parent = step.kind === 'elsewhere' ? step.parent : undefined;
    await o.clock.sleep(searchPauseMs, signal);
  }
}

/** One exchange with a parent. */
async function followOnce(o: FollowOptions, parent: NodeId, signal: AbortSignal): Promise<Step> {
  const sentAt = o.clock.now();
  const call: FollowCall = {
    node: o.self,
    incarnation: o.incarnation,
    applied: o.history.state.index,
    draining: o.draining(),
    below: [],
  };
  const timeoutMs = o.timing.holdMs * 2;
  const reply = await o.transport.call(parent, 'follow', call, { timeoutMs, signal });
  if (reply.isErr()) {
    return { kind: 'lost' };
  }
  if (reply.value.kind === 'elsewhere') {
    return reply.value;
  }
  take(o, reply.value, sentAt);
  return { kind: 'taken' };
}

function take(o: FollowOptions, reply: FollowReply & { kind: 'state' }, sentAt: number): void {
  if (reply.snapshot) o.history.restore(reply.snapshot);
  for (const { index, bytes } of reply.commands) o.history.apply(index, bytes);
  if (o.history.state.index >= reply.upTo) o.lease.renew(sentAt + reply.leaseMs);
}
