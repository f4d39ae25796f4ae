/** The leader's task that keeps the set of live nodes in the shared state. */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { Proposer } from '@tanagercart/state';
import type { Feed } from './feed.js';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';

/** Pause between two looks at the followers, in milliseconds. */
const lookMs = 100;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs = 1000;

/** What the registrar needs. */
export interface RegistrarOptions {
  readonly feed: Feed;
  readonly history: History;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
  readonly leads: () => boolean;
}

/** While this node leads, records nodes that come up, drain or fall silent. */
export async function keepNodes(o: RegistrarOptions, signal: AbortSignal): Promise<void> {
  let leadingSince: Millis | undefined;
  while (!signal.aborted) {
    await o.clock.sleep(lookMs, signal);
    if (!o.leads()) {
      leadingSince = undefined;
      continue;
    }
    leadingSince ??= o.clock.now();
    await recordNew(o);
    await recordGone(o, leadingSince);
  }
}

async function recordNew(o: RegistrarOptions): Promise<void> {
  for (const { call, heardAt } of o.feed.followers.values()) {
    const known = o.history.state.nodes.get(call.node.id);
    const fresh = heardAt + o.timing.silenceMs > o.clock.now();
    if (!fresh || call.draining || known?.incarnation === call.incarnation) continue;
    o.logger.info('Node is up.', { node: call.node.id });
    const { node, incarnation } = call;
    await o.proposer.propose({ kind: 'node-up', node, incarnation }, proposeTimeoutMs);
  }
}

async function recordGone(o: RegistrarOptions, leadingSince: Millis): Promise<void> {
  for (const [node, live] of [...o.history.state.nodes]) {
    const follower = o.feed.followers.get(node);
    const heardAt = Math.max(follower?.heardAt ?? 0, leadingSince);
    const silent = heardAt + o.timing.silenceMs <= o.clock.now();
    const drains = follower?.call.draining === true;
    if (!silent && !drains) continue;
    o.logger.info(drains ? 'Node drains.' : 'Node is silent.', { node });
    await down(o, node, live.incarnation);
  }
}

async function down(o: RegistrarOptions, node: NodeId, incarnation: string): Promise<void> {
  await o.proposer.propose({ kind: 'node-down', node, incarnation }, proposeTimeoutMs);
}
