/**
 * The registry of upstreams: receives their announcements, and records in the shared state which
 * of them come up, leave or fall silent.
 */

import { isDeepStrictEqual } from 'node:util';
import type { Clock, Logger, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import { ModelId, ServiceId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Proposer, Upstream, UpstreamRole } from '@tanagercart/state';
import { parseAnnouncement } from '@tanagercart/upstream';
import type { Announcement, AnnouncementReply } from '@tanagercart/upstream';
import { Assignment } from './assignment.js';
import { RosterBatcher } from './batch.js';
import type { History } from './history.js';
import type { ConfigurationLease } from './lease.js';
import { rankOwners } from './owner.js';
import { Watchlist } from './watchlist.js';

/** Interval at which an upstream announces itself, in milliseconds. */
export const heartbeatMs: Millis = 500;

/** Interval at which a node checks the upstreams that it watches, in milliseconds. */
const checkIntervalMs: Millis = 100;

/** Deadline of forwarding an announcement, in milliseconds. */
const forwardTimeoutMs: Millis = 500;

/** Nodes named in a reply: the watcher, and those to announce at while it is unreachable. */
const maxTargets = 3;

/** Dependencies and settings of `UpstreamRegistry`. */
export interface UpstreamRegistryOptions {
  readonly self: NodeId;
  readonly history: History;
  readonly proposer: Proposer;
  readonly transport: Transport;
  readonly lease: ConfigurationLease;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * One node's part of the registry. An upstream may announce itself at any node; the node to which
 * it is assigned watches it.
 */
export class UpstreamRegistry {
  /** State of the upstreams that this node watches. */
  readonly watchlist: Watchlist;
  private readonly assignment: Assignment;
  private readonly batcher: RosterBatcher;
  /** Incarnations that announced to this node that they leave. */
  private readonly leaving = new Map<UpstreamId, string>();
  /** Upstreams with a change that is being proposed. */
  private readonly recording = new Set<UpstreamId>();

  private constructor(private readonly o: UpstreamRegistryOptions) {
    this.assignment = Assignment.create(o.self, () => o.history.state);
    this.batcher = RosterBatcher.create(o.proposer, o.clock);
    this.watchlist = Watchlist.create(o.clock, heartbeatMs);
  }

  static create(options: UpstreamRegistryOptions): UpstreamRegistry {
    const registry = new UpstreamRegistry(options);
    options.transport.serve('announce', async (_, call) => ({
      ok: registry.handleForwarded(call.body),
    }));
    return registry;
  }

  /**
   * Handles an announcement that an upstream made at this node. Resolves to undefined if the
   * upstream leaves and this could not be recorded.
   */
  async handleAnnouncement(a: Announcement): Promise<AnnouncementReply | undefined> {
    const reply = { heartbeatMs, to: this.targetsOf(a) };
    if (a.leaving) return (await this.recordLeave(a)) ? reply : undefined;
    const watcher = this.assignment.watcherOf(a);
    if (watcher === undefined || watcher === this.o.self) {
      this.recordHeartbeat(a);
      return reply;
    }
    return (await this.forward(watcher, a)) ? reply : { heartbeatMs, to: reply.to.slice(1) };
  }

  /** Whether the recorded process of an upstream announced to this node that it leaves. */
  isLeaving(id: UpstreamId): boolean {
    const incarnation = this.leaving.get(id);
    return incarnation !== undefined && this.recorded(id)?.incarnation === incarnation;
  }

  /** Task: records as down the upstreams watched by this node that have fallen silent. */
  async watch(signal: AbortSignal): Promise<void> {
    const { clock } = this.o;
    let due = clock.now() + checkIntervalMs;
    while (!signal.aborted) {
      await clock.sleep(checkIntervalMs, signal);
      // No heartbeat could be received while this process was paused.
      this.watchlist.excludePause(Math.max(0, clock.now() - due - checkIntervalMs));
      due = clock.now() + checkIntervalMs;
      this.checkWatched();
    }
  }

  private checkWatched(): void {
    const { watched } = this.assignment;
    this.watchlist.retain(new Set(watched.map((u) => u.id)));
    for (const u of watched) this.watchlist.watch(u.id);
    if (!this.o.lease.valid) {
      this.watchlist.reset();
      return;
    }
    for (const id of this.watchlist.silentUpstreams()) {
      const upstream = this.recorded(id);
      if (upstream && !this.recording.has(id)) void this.recordSilent(upstream);
    }
    for (const [id, incarnation] of this.leaving) {
      const upstream = this.recorded(id);
      if (upstream && upstream.incarnation !== incarnation) this.leaving.delete(id);
    }
  }

  /** Handles an announcement that another node forwarded; returns whether it is well-formed. */
  private handleForwarded(body: string): boolean {
    const parsed = parseAnnouncement(JSON.parse(body));
    if (parsed.isErr()) return false;
    this.recordHeartbeat(parsed.value);
    return true;
  }

  private async forward(watcher: NodeId, a: Announcement): Promise<boolean> {
    const call = { upstream: a.id, body: JSON.stringify(a) };
    const options = { timeoutMs: forwardTimeoutMs };
    const reply = await this.o.transport.call(watcher, 'announce', call, options);
    return reply.isOk() && reply.value.ok;
  }

  /** Records a heartbeat, and proposes the upstream if it is not recorded as announced. */
  private recordHeartbeat(a: Announcement): void {
    if (this.leaving.get(a.id) === a.incarnation) return;
    const upstream = this.recorded(a.id);
    this.watchlist.recordHeartbeat(a.id, a.load);
    const isRecorded =
      upstream?.incarnation === a.incarnation && isDeepStrictEqual(upstream.role, toRole(a));
    if (isRecorded || this.recording.has(a.id) || this.watchlist.isSuppressed(a.id)) return;
    void this.recordUp(a);
  }

  private async recordLeave(a: Announcement): Promise<boolean> {
    this.leaving.set(a.id, a.incarnation);
    this.o.logger.info('Upstream is leaving.', { upstream: a.id });
    return this.batcher.add(upstreamDown(a.id, a.incarnation, true));
  }

  private async recordUp(a: Announcement): Promise<void> {
    this.recording.add(a.id);
    this.o.logger.info('Upstream is up.', { upstream: a.id });
    await this.batcher.add({ kind: 'upstream-up', upstream: toUpstream(a) });
    this.recording.delete(a.id);
  }

  private async recordSilent({ id, incarnation }: Upstream): Promise<void> {
    this.recording.add(id);
    this.o.logger.warn('Upstream is silent.', { upstream: id });
    if (await this.batcher.add(upstreamDown(id, incarnation, false))) this.watchlist.recordDown(id);
    this.recording.delete(id);
  }

  /** An upstream as the shared state has it; undefined if it is not up. */
  private recorded(id: UpstreamId): Upstream | undefined {
    return this.o.history.state.upstreams.get(id);
  }

  /** The URLs at which an upstream should announce itself, best first. */
  private targetsOf(a: Announcement): readonly string[] {
    const { nodes } = this.o.history.state;
    const ranked = rankOwners(this.o.history.state, a.id, a.dataCentre).slice(0, maxTargets);
    return ranked.flatMap((n) => nodes.get(n)?.address.entry ?? []);
  }
}

function upstreamDown(upstream: UpstreamId, incarnation: string, left: boolean) {
  return { kind: 'upstream-down', upstream, incarnation, left } as const;
}

function toUpstream(a: Announcement): Upstream {
  const { id, incarnation, url, dataCentre } = a;
  return { id, incarnation, url, dataCentre, role: toRole(a) };
}

function toRole(a: Announcement): UpstreamRole {
  if (a.role.kind === 'service') return { kind: 'service', service: ServiceId(a.role.service) };
  const { kind, model, ...rest } = a.role;
  return { kind, stage: { ...rest, model: ModelId(model) } };
}
