/** Upstreams: takes their announcements, and records those that come, leave or fall silent. */

import { isDeepStrictEqual } from 'node:util';
import type { Clock, Logger, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import { ModelId, ServiceId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Proposer, Upstream, UpstreamRole } from '@tanagercart/state';
import { parseAnnouncement } from '@tanagercart/upstream';
import type { Announcement, AnnouncementReply } from '@tanagercart/upstream';
import { Assignment } from './assignment.js';
import { RosterBatch } from './batch.js';
import type { History } from './history.js';
import type { ConfigurationLease } from './lease.js';
import { rankOwners } from './owner.js';
import { Watchlist } from './watchlist.js';

/** Time between two announcements of one upstream, in milliseconds. */
export const heartbeatMs: Millis = 500;

/** Pause between two looks for silent upstreams, in milliseconds. */
const lookMs: Millis = 100;

/** How long passing on an announcement may take, in milliseconds. */
const passOnTimeoutMs: Millis = 500;

/** Nodes named to an upstream: its watcher, and where to go when that is out of reach. */
const nodesTold = 3;

/** What the registry of upstreams needs. */
export interface UpstreamRegistryOptions {
  readonly self: NodeId;
  readonly history: History;
  readonly proposer: Proposer;
  readonly transport: Transport;
  readonly lease: ConfigurationLease;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The upstreams that this node hears of. Each is watched by the node that owns its name. */
export class UpstreamRegistry {
  /** Health of the upstreams that this node watches. */
  readonly watchlist: Watchlist;
  private readonly assignment: Assignment;
  private readonly batch: RosterBatch;
  /** Incarnations that said to this node that they leave. */
  private readonly leaving = new Map<UpstreamId, string>();
  private readonly recording = new Set<UpstreamId>();

  private constructor(private readonly o: UpstreamRegistryOptions) {
    this.assignment = Assignment.create(o.self, () => o.history.state);
    this.batch = RosterBatch.create(o.proposer, o.clock);
    this.watchlist = Watchlist.create(o.clock, heartbeatMs);
  }

  static create(options: UpstreamRegistryOptions): UpstreamRegistry {
    const upstreams = new UpstreamRegistry(options);
    options.transport.serve('announce', async (_, call) => ({ ok: upstreams.passedOn(call.body) }));
    return upstreams;
  }

  /** Takes an announcement made at this node; undefined where a leave could not be recorded. */
  async handleAnnouncement(a: Announcement): Promise<AnnouncementReply | undefined> {
    const reply = { heartbeatMs, to: this.targets(a) };
    if (a.leaving) return (await this.left(a)) ? reply : undefined;
    const watcher = this.assignment.watcherOf(a);
    if (watcher === undefined || watcher === this.o.self) {
      this.heard(a);
      return reply;
    }
    return (await this.passOn(watcher, a)) ? reply : { heartbeatMs, to: reply.to.slice(1) };
  }

  /** Whether an upstream said to this node that it leaves. */
  isLeaving(id: UpstreamId): boolean {
    const incarnation = this.leaving.get(id);
    return incarnation !== undefined && this.known(id)?.incarnation === incarnation;
  }

  /** Task: records upstreams watched by this node that fell silent. */
  async watch(signal: AbortSignal): Promise<void> {
    const { clock } = this.o;
    let due = clock.now() + lookMs;
    while (!signal.aborted) {
      await clock.sleep(lookMs, signal);
      // While this process was paused it could hear nobody.
      this.watchlist.paused(Math.max(0, clock.now() - due - lookMs));
      due = clock.now() + lookMs;
      this.look();
    }
  }

  private look(): void {
    const { watched } = this.assignment;
    this.watchlist.keepOnly(new Set(watched.map((u) => u.id)));
    for (const u of watched) this.watchlist.expect(u.id);
    if (!this.o.lease.valid) {
      this.watchlist.startOver();
      return;
    }
    for (const id of this.watchlist.silent()) {
      const upstream = this.known(id);
      if (upstream && !this.recording.has(id)) void this.fellSilent(upstream);
    }
    for (const [id, incarnation] of this.leaving) {
      const now = this.known(id);
      if (now && now.incarnation !== incarnation) this.leaving.delete(id);
    }
  }

  /** An announcement that another node passed on; whether it could be read. */
  private passedOn(body: string): boolean {
    const parsed = parseAnnouncement(JSON.parse(body));
    if (parsed.isErr()) return false;
    this.heard(parsed.value);
    return true;
  }

  private async passOn(watcher: NodeId, a: Announcement): Promise<boolean> {
    const call = { upstream: a.id, body: JSON.stringify(a) };
    const options = { timeoutMs: passOnTimeoutMs };
    const reply = await this.o.transport.call(watcher, 'announce', call, options);
    return reply.isOk() && reply.value.ok;
  }

  private heard(a: Announcement): void {
    if (this.leaving.get(a.id) === a.incarnation) return;
    const known = this.known(a.id);
    this.watchlist.heard(a.id, a.load);
    const recorded =
      known?.incarnation === a.incarnation && isDeepStrictEqual(known.role, roleOf(a));
    if (recorded || this.recording.has(a.id) || this.watchlist.keepsOut(a.id)) return;
    void this.recordUp(a);
  }

  private async left(a: Announcement): Promise<boolean> {
    this.leaving.set(a.id, a.incarnation);
    this.o.logger.info('Upstream leaves.', { upstream: a.id });
    return this.batch.add(downOf(a.id, a.incarnation, true));
  }

  private async recordUp(a: Announcement): Promise<void> {
    this.recording.add(a.id);
    this.o.logger.info('Upstream is up.', { upstream: a.id });
    await this.batch.add({ kind: 'upstream-up', upstream: upstreamOf(a) });
    this.recording.delete(a.id);
  }

  private async fellSilent({ id, incarnation }: Upstream): Promise<void> {
    this.recording.add(id);
    this.o.logger.warn('Upstream is silent.', { upstream: id });
    if (await this.batch.add(downOf(id, incarnation, false))) this.watchlist.fell(id);
    this.recording.delete(id);
  }

  private known(id: UpstreamId): Upstream | undefined {
    return this.o.history.state.upstreams.get(id);
  }

  private targets(a: Announcement): readonly string[] {
    const { nodes } = this.o.history.state;
    const ranked = rankOwners(this.o.history.state, a.id, a.dataCentre).slice(0, nodesTold);
    return ranked.flatMap((n) => nodes.get(n)?.address.entry ?? []);
  }
}

function downOf(upstream: UpstreamId, incarnation: string, left: boolean) {
  return { kind: 'upstream-down', upstream, incarnation, left } as const;
}

function upstreamOf(a: Announcement): Upstream {
  const { id, incarnation, url, dataCentre } = a;
  return { id, incarnation, url, dataCentre, role: roleOf(a) };
}

function roleOf(a: Announcement): UpstreamRole {
  if (a.role.kind === 'service') return { kind: 'service', service: ServiceId(a.role.service) };
  const { kind, model, ...rest } = a.role;
  return { kind, stage: { ...rest, model: ModelId(model) } };
}
