/** A fleet of hundreds of machines, and the heartbeats of its upstreams. */

import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { Fleet } from './fleet.js';

export const voters = ['a', 'b', 'c', 'd', 'e'];
export const upstreamCount = 223;
export const heartbeatMs: Millis = 1200;

/** Processor time for a call over HTTP on the smallest machines of today. */
export const httpMs: Millis = 3;

/** Time from the start of all in which upstreams may be registered late. */
const startMs: Millis = 8000;

/**
 * For `ms`, lets all upstreams send heartbeats over HTTP to the voter that the last response named.
 * Returns the time that each of them was without an acknowledgement at most, after `startMs`.
 */
export async function sendHeartbeats(
  fleet: Fleet,
  ms: Millis,
): Promise<ReadonlyMap<string, Millis>> {
  const { clock } = fleet;
  const end = clock.now() + ms;
  const countedFrom = clock.now() + startMs;
  const worst = new Map<string, Millis>();
  const beat = async (id: string, at: Millis) => {
    let to = NodeId(voters[Number(id.slice(1)) % voters.length]!);
    let ackedAt = clock.now();
    await clock.sleep(at);
    while (clock.now() < end) {
      const startedAt = clock.now();
      const node = fleet.nodes.get(to);
      await fleet.processors.get(to)?.work(httpMs);
      const done = await node?.announce(fleet.nextAnnouncement(id));
      const isInTime = clock.now() - startedAt < 1000;
      if (done?.isOk() && isInTime) {
        to = node!.heartbeatNode(fleet.nextAnnouncement(id).id);
        ackedAt = clock.now();
      } else to = NodeId(voters[Math.floor(fleet.random.next() * voters.length)]!);
      const silentMs = clock.now() - Math.max(ackedAt, countedFrom);
      worst.set(id, Math.max(worst.get(id) ?? 0, silentMs));
      await clock.sleep(heartbeatMs);
    }
  };
  for (let i = 0; i < upstreamCount; i += 1) void beat(`u${i}`, (i * heartbeatMs) / upstreamCount);
  while (clock.now() < end) await clock.advance(20);
  return worst;
}
