/**
 * Collects heartbeats that change nothing, at a voter that does not lead, and forwards them to the
 * leader together. Answers the load of hundreds of upstreams, whose heartbeats would take more
 * processor time than the leader has if each were a call of its own.
 */

import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Millis } from '@tanagercart/base';
import type { PlainHeartbeat } from '@tanagercart/protocol';
import type { NoLeader } from './leaderclient.js';

/** Time for which heartbeats are collected. */
const collectMs: Millis = 100;

/** Forwards heartbeats to the leader; the result is that of each of them. */
export type Forward = (heartbeats: readonly PlainHeartbeat[]) => Promise<Result<void, NoLeader>>;

/** The heartbeats that wait to be forwarded. */
export class HeartbeatCollector {
  private collected: PlainHeartbeat[] = [];
  private forwarding: Promise<Result<void, NoLeader>> | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly forward: Forward,
  ) {}

  static create(clock: Clock, forward: Forward): HeartbeatCollector {
    return new HeartbeatCollector(clock, forward);
  }

  /** Adds a heartbeat; resolves once the leader has recorded it, or with the reason why not. */
  add({ id, born, sequence }: PlainHeartbeat): Promise<Result<void, NoLeader>> {
    this.collected.push({ id, born, sequence });
    this.forwarding ??= this.forwardSoon();
    return this.forwarding;
  }

  private async forwardSoon(): Promise<Result<void, NoLeader>> {
    await this.clock.sleep(collectMs);
    const heartbeats = this.collected;
    this.collected = [];
    this.forwarding = undefined;
    return heartbeats.length === 0 ? ok(undefined) : this.forward(heartbeats);
  }
}
