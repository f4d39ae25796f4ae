/** Takes what upstreams announce, at the leader: only what changed goes into the log. */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import { formatRange } from '@tanagercart/layers';
import type { Announcement, BeatReply, UpstreamPhase, UpstreamRecord } from '@tanagercart/protocol';
import type { Roster } from './roster.js';
import type { Voter } from './voter.js';

/** After an order the layers are those that its outcome told, for this long. */
const settledMs: Millis = 1500;

const rank: Record<UpstreamPhase, number> = { ready: 0, draining: 1, gone: 2 };

export interface IntakeOptions {
  readonly voter: Voter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether an order to the upstream is in progress. */
  readonly isOrdered: (id: UpstreamId) => boolean;
}

/** Turns announcements into records. */
export class Intake {
  private readonly settledAt = new Map<UpstreamId, Millis>();

  private constructor(private readonly o: IntakeOptions) {}

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** The layers of an upstream were recorded after an order. */
  settled(id: UpstreamId): void {
    this.settledAt.set(id, this.o.clock.now());
  }

  /** Accepts an announcement once all that follows from it is committed. */
  async take(announcement: Announcement, roster: Roster): Promise<BeatReply> {
    if (!roster.hearUpstream(announcement)) return { kind: 'accepted' };
    const records = this.recordsFor(announcement);
    if (records.length === 0) return { kind: 'accepted' };
    for (const r of records) this.tell(r);
    const done = await this.o.voter.propose({ kind: 'upstreams', records });
    if (done.isOk()) return { kind: 'accepted' };
    if (done.error.kind === 'not-leader') return { kind: 'not-leader', leader: done.error.leader };
    return { kind: 'unavailable', reason: done.error.kind };
  }

  private tell(record: UpstreamRecord): void {
    this.o.logger.info('Upstream changed.', {
      upstream: record.id,
      born: record.born,
      service: record.service,
      address: record.address,
      phase: record.phase,
      layers: record.layers && formatRange(record.layers),
    });
  }

  private recordsFor(announcement: Announcement): readonly UpstreamRecord[] {
    const { sequence, ...told } = announcement;
    const { upstreams } = this.o.voter.state;
    const known = upstreams.get(told.id);
    if (known && known.born > told.born) return [];
    const sameAddress = [...upstreams.values()].filter(
      (r) => r.address === told.address && r.id !== told.id && r.phase !== 'gone',
    );
    if (sameAddress.some((r) => r.born > told.born)) return [];
    const replaced = sameAddress.map((r): UpstreamRecord => ({ ...r, phase: 'gone' }));
    const record = this.merge(known, told);
    return known && isSame(known, record) ? replaced : [...replaced, record];
  }

  private merge(known: UpstreamRecord | undefined, told: UpstreamRecord): UpstreamRecord {
    if (!known || known.born < told.born) return told;
    const phase = rank[told.phase] > rank[known.phase] ? told.phase : known.phase;
    const settledAt = this.settledAt.get(told.id) ?? -Infinity;
    const keeps = this.o.isOrdered(told.id) || this.o.clock.now() - settledAt < settledMs;
    return { ...told, phase, layers: keeps ? known.layers : told.layers };
  }
}

function isSame(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return (
    a.born === b.born &&
    a.service === b.service &&
    a.address === b.address &&
    a.phase === b.phase &&
    a.slots === b.slots &&
    a.accelerator === b.accelerator &&
    a.layers?.from === b.layers?.from &&
    a.layers?.to === b.layers?.to
  );
}
