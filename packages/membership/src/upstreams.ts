/** Upstreams: takes their announcements and records those that come, leave or fall silent. */

import type { Clock, Logger, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import { ModelId, ServiceId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Proposer, Upstream, UpstreamRole } from '@tanagercart/state';
import type { Announcement, AnnouncementReply } from '@tanagercart/upstream';
import type { History } from './history.js';
import { ownerOf } from './owner.js';

/** Time between two announcements of one upstream, in milliseconds. */
const heartbeatMs = 500;

/** Silence after which an upstream counts as down, in milliseconds. */
const silenceMs = 2000;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs = 1000;

/** What the registry of upstreams needs. */
export interface UpstreamsOptions {
  readonly self: NodeId;
  readonly history: History;
  readonly proposer: Proposer;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The upstreams that this node hears of. */
export class Upstreams {
  private readonly heardAt = new Map<UpstreamId, Millis>();
  private readonly gone = new Set<UpstreamId>();

  private constructor(private readonly o: UpstreamsOptions) {}

  static create(options: UpstreamsOptions): Upstreams {
    return new Upstreams(options);
  }

  /** Takes an announcement that an upstream made at this node. */
  async announced(a: Announcement): Promise<AnnouncementReply> {
    const known = this.o.history.state.upstreams.get(a.id);
    if (a.leaving) {
      this.gone.add(a.id);
      await this.recordGone(a.id, a.incarnation);
    } else {
      this.gone.delete(a.id);
      this.heardAt.set(a.id, this.o.clock.now());
      if (known?.incarnation !== a.incarnation) await this.recordUp(a);
    }
    return { heartbeatMs, to: this.targets(a) };
  }

  /** Whether an upstream said to this node that it leaves. */
  isLeaving(id: UpstreamId): boolean {
    return this.gone.has(id);
  }

  /** Task: records upstreams of this node that fell silent. */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.o.clock.sleep(heartbeatMs, signal);
      for (const upstream of [...this.o.history.state.upstreams.values()]) {
        if (signal.aborted) return;
        if (this.isSilent(upstream)) await this.recordGone(upstream.id, upstream.incarnation);
      }
    }
  }

  private isSilent(upstream: Upstream): boolean {
    const { clock, history, self } = this.o;
    if (ownerOf(history.state, upstream.id, upstream.dataCentre) !== self) {
      this.heardAt.delete(upstream.id);
      return false;
    }
    const heardAt = this.heardAt.get(upstream.id);
    if (heardAt === undefined) this.heardAt.set(upstream.id, clock.now());
    return heardAt !== undefined && heardAt + silenceMs <= clock.now();
  }

  private targets(a: Announcement): readonly string[] {
    const { history } = this.o;
    const owner = ownerOf(history.state, a.id, a.dataCentre);
    const address = owner && history.state.nodes.get(owner)?.address;
    return address ? [address.entry] : [];
  }

  private async recordUp(a: Announcement): Promise<void> {
    const upstream = upstreamOf(a);
    this.o.logger.info('Upstream is up.', { upstream: a.id });
    await this.o.proposer.propose({ kind: 'upstream-up', upstream }, proposeTimeoutMs);
  }

  private async recordGone(upstream: UpstreamId, incarnation: string): Promise<void> {
    this.o.logger.info('Upstream is gone.', { upstream });
    const command = { kind: 'upstream-down', upstream, incarnation } as const;
    await this.o.proposer.propose(command, proposeTimeoutMs);
  }
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
