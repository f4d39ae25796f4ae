/**
 * Registers the announcements of upstreams, at the leader. Only announcements that change a record
 * are written to the log.
 */

import { DataCentreId, ServiceId } from '@tanagercart/base';
import type { Clock, LogFields, Logger, Millis, UpstreamId } from '@tanagercart/base';
import { formatRange } from '@tanagercart/layers';
import type {
  Announcement,
  BeatReply,
  Deregistration,
  UpstreamIncarnation,
  UpstreamRecord,
} from '@tanagercart/protocol';
import type { Command, UpstreamChange } from './command.js';
import type { Liveness } from './liveness.js';
import { isLaterPhase, laterPhase } from './recordchange.js';
import type { Voter } from './voter.js';

/** For this long after an order, its outcome determines the recorded layers, not announcements. */
const placementGraceMs: Millis = 1500;

/**
 * The same holds for as many announcements after it: they may have been sent before, and have waited
 * in a queue of this node.
 */
const placementGraceBeats = 2;

/**
 * An upstream that another writer recorded as gone is taken back after as many announcements, received
 * over this many heartbeat intervals: one that has ended would count as lost by then, and its late
 * announcements are fewer.
 */
const beatsToRevoke = 4;
const intervalsToRevoke = 3;

/** The announcements of an incarnation that another writer recorded as gone. */
interface Revocation {
  readonly born: number;
  readonly since: Millis;
  sequence: number;
  beats: number;
}

/** When the layers of an upstream were recorded, and the last announcement before. */
interface Placement {
  readonly born: number;
  readonly at: Millis;
  readonly sequence: number;
}

/** Records that are being committed. */
interface PendingChange {
  readonly records: readonly UpstreamChange[];
  readonly reply: Promise<BeatReply>;
}

export interface UpstreamRegistryOptions {
  readonly voter: Pick<Voter, 'state' | 'propose'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether an order to the upstream is in progress. */
  readonly isPlacing: (id: UpstreamId) => boolean;
  /** Whether the configuration has the service; true while there is no configuration. */
  readonly isConfigured: (service: ServiceId) => boolean;
  /** Interval between two announcements of an upstream. */
  readonly heartbeatMs: Millis;
}

/** Turns announcements into records of the replicated state. */
export class UpstreamRegistry {
  /** The last order to each upstream that succeeded. */
  private readonly placed = new Map<UpstreamId, Placement>();
  /** Changes that are being committed, by the upstream whose announcement they follow from. */
  private readonly pending = new Map<UpstreamId, PendingChange>();
  /** Upstreams whose word that they leave is being committed. */
  private readonly leaving = new Set<UpstreamId>();
  /** Announcements of upstreams that others recorded as gone. */
  private readonly revocations = new Map<UpstreamId, Revocation>();

  private constructor(private readonly o: UpstreamRegistryOptions) {}

  static create(options: UpstreamRegistryOptions): UpstreamRegistry {
    return new UpstreamRegistry(options);
  }

  /** Notes that the layers that an upstream was ordered to hold are recorded. */
  markPlaced({ id, born }: UpstreamIncarnation, liveness: Liveness): void {
    const sequence = liveness.sequenceOf(id) ?? 0;
    this.placed.set(id, { born, at: this.o.clock.now(), sequence });
  }

  /** Registers an announcement; accepts it once all changes that follow from it are committed. */
  async register(announcement: Announcement, liveness: Liveness): Promise<BeatReply> {
    if (this.isForeign(announcement)) {
      this.logForeign(announcement);
      return { kind: 'accepted' };
    }
    const records = liveness.recordHeartbeat(announcement)
      ? this.changesFor(announcement, liveness)
      : this.overtakenChangesFor(announcement);
    if (records.length === 0) return { kind: 'accepted' };
    const { id } = announcement;
    const pending = this.pending.get(id);
    // The heartbeat was sent again, as its first acknowledgement is late.
    if (pending && isSameList(pending.records, records)) return pending.reply;
    for (const r of records) this.logChange(r);
    const change: PendingChange = { records, reply: this.propose({ kind: 'upstreams', records }) };
    this.pending.set(id, change);
    const reply = await change.reply;
    if (this.pending.get(id) === change) this.pending.delete(id);
    return reply;
  }

  /**
   * Records that an upstream has left; accepts it once the log says so. An upstream that the log does
   * not know is recorded too, so that a heartbeat that it sent before cannot register it later. One
   * that names no incarnation ends what the log knows, until the upstream revokes it.
   */
  async deregister(deregistration: Deregistration, liveness: Liveness): Promise<BeatReply> {
    const { voter } = this.o;
    const { id, born: named } = deregistration;
    const known = voter.state.upstreams.get(id);
    if (named === undefined || known?.born !== named) {
      // The log may hold a record that this node has not applied yet.
      const caughtUp = await this.propose({ kind: 'barrier' });
      if (caughtUp.kind !== 'accepted') return caughtUp;
    }
    const current = voter.state.upstreams.get(id);
    const born = named ?? current?.born;
    if (born === undefined || (current && current.born > born)) return { kind: 'accepted' };
    // Without an incarnation it may come from another writer, so that the upstream may revoke it.
    const isRevocable = named === undefined ? true : undefined;
    if (!isRevocable) liveness.recordHeartbeat({ id, born, sequence: Number.MAX_SAFE_INTEGER });
    const isKnown = current?.born === born;
    const isEnded = isKnown && current.phase === 'gone';
    if (isEnded && (isRevocable || !current.isRevocable)) return { kind: 'accepted' };
    const change: UpstreamChange = isKnown
      ? { ...current, phase: 'gone', isRevocable, scope: 'phase' }
      : goneRecord(id, born);
    this.logChange(change);
    return this.propose({ kind: 'upstreams', records: [change] });
  }

  private async propose(command: Command): Promise<BeatReply> {
    const done = await this.o.voter.propose(command);
    if (done.isOk()) return { kind: 'accepted' };
    if (done.error.kind === 'not-leader') return { kind: 'not-leader', leader: done.error.leader };
    return { kind: 'unavailable', reason: done.error.kind };
  }

  /** Records that an upstream said in an answer that it leaves; `source` is logged with it. */
  recordLeaving({ id, born }: UpstreamIncarnation, source: LogFields): void {
    const { voter, logger } = this.o;
    const record = voter.state.upstreams.get(id);
    if (record?.born !== born || record.phase !== 'ready' || this.leaving.has(id)) return;
    logger.info('The upstream says that it leaves.', { ...source, upstream: id, born });
    this.leaving.add(id);
    const records = [{ ...record, phase: 'draining', scope: 'phase' } as const];
    void voter.propose({ kind: 'upstreams', records }).then(() => this.leaving.delete(id));
  }

  /**
   * Whether an announcement takes the id of an upstream of another service for one that the
   * configuration does not have: it tells nothing of that upstream.
   */
  private isForeign({ id, service }: Announcement): boolean {
    const current = this.o.voter.state.upstreams.get(id);
    if (!current || current.service === service || current.phase === 'gone') return false;
    return !this.o.isConfigured(service);
  }

  private logForeign({ id, service, address }: Announcement): void {
    const fields = { upstream: id, service, address };
    this.o.logger.warn('Ignored an announcement for a service that is not configured.', fields);
  }

  private logChange(record: UpstreamRecord): void {
    this.o.logger.info('Upstream changed.', {
      upstream: record.id,
      born: record.born,
      service: record.service,
      address: record.address,
      phase: record.phase,
      layers: record.layers && formatRange(record.layers),
    });
  }

  /**
   * Returns what an announcement changes. Another upstream at the same address is gone
   * if it started earlier; if it started later, the announcement is out of date. Upstreams of services
   * that are not configured are recorded, as the next configuration may have them, and tell nothing
   * of others.
   */
  private changesFor(announcement: Announcement, liveness: Liveness): readonly UpstreamChange[] {
    const { sequence, ...announced } = announcement;
    const { isConfigured, voter } = this.o;
    const { upstreams } = voter.state;
    const current = upstreams.get(announced.id);
    if (current && current.born > announced.born) return [];
    const change = this.changeFor(current, announced, sequence);
    const changes = current && isSame(current, change) ? [] : [change];
    if (!isConfigured(announced.service)) return changes;
    const sameAddress = [...upstreams.values()].filter(
      (r) => r.address === announced.address && r.id !== announced.id && r.phase !== 'gone',
    );
    const later = sameAddress.filter((r) => r.born > announced.born && isConfigured(r.service));
    if (later.some((r) => !liveness.isLost(r))) return [];
    if (current && this.isRevokedBy(announcement, current)) {
      return [{ ...announced, revokes: true }];
    }
    const earlier = sameAddress.filter((r) => r.born <= announced.born);
    const replaced = earlier.map((r): UpstreamChange => ({
      ...r,
      phase: 'gone',
      isRevocable: true,
      scope: 'phase',
    }));
    return [...replaced, ...changes];
  }

  /**
   * Whether an upstream that another writer recorded as gone has announced itself so often since that
   * it is up.
   */
  private isRevokedBy(
    { id, born, phase, sequence }: Announcement,
    current: UpstreamRecord,
  ): boolean {
    const isOpen = current.phase === 'gone' && current.isRevocable === true;
    if (!isOpen || current.born !== born || phase !== 'ready') {
      this.revocations.delete(id);
      return false;
    }
    const now = this.o.clock.now();
    const known = this.revocations.get(id);
    const isKnown = known?.born === born;
    const revocation = isKnown ? known : { born, since: now, sequence, beats: 1 };
    if (!isKnown) this.revocations.set(id, revocation);
    if (sequence <= revocation.sequence) return false;
    revocation.sequence = sequence;
    revocation.beats += 1;
    const isPersistent = now - revocation.since >= this.o.heartbeatMs * intervalsToRevoke;
    if (revocation.beats < beatsToRevoke || !isPersistent) return false;
    this.revocations.delete(id);
    this.o.logger.warn('Took back an upstream that another writer recorded as gone.', {
      ...{ upstream: id, born, sequence, beats: revocation.beats },
      sinceMs: Math.round(now - revocation.since),
    });
    return true;
  }

  /**
   * The change that follows from an announcement after a later one of the upstream: what the later one
   * changes may not be committed yet, or never be, so the log has to say that the upstream leaves.
   */
  private overtakenChangesFor(announcement: Announcement): readonly UpstreamChange[] {
    const { sequence, ...announced } = announcement;
    const current = this.o.voter.state.upstreams.get(announced.id);
    if (announced.phase === 'ready' || (current && current.born > announced.born)) return [];
    const isKnown = current?.born === announced.born;
    if (isKnown && !isLaterPhase(announced.phase, current.phase)) return [];
    return [{ ...announced, scope: 'phase' }];
  }

  /** The change that an announcement makes to the current record of the upstream. */
  private changeFor(
    current: UpstreamRecord | undefined,
    announced: UpstreamRecord,
    sequence: number,
  ): UpstreamChange {
    if (!current || current.born < announced.born) return announced;
    const phase = laterPhase(announced.phase, current.phase);
    const keepsLayers = this.o.isPlacing(announced.id) || this.isJustPlaced(announced, sequence);
    return keepsLayers
      ? { ...announced, phase, layers: current.layers, scope: 'all-but-layers' }
      : { ...announced, phase };
  }

  /** Whether an announcement may have been sent before the last order was carried out. */
  private isJustPlaced({ id, born }: UpstreamIncarnation, sequence: number): boolean {
    const placement = this.placed.get(id);
    if (placement?.born !== born) return false;
    const isRecent = this.o.clock.now() - placement.at < placementGraceMs;
    return isRecent || sequence <= placement.sequence + placementGraceBeats;
  }
}

/** The record of an upstream of which no more is known than that this incarnation has left. */
export function goneRecord(id: UpstreamId, born: number): UpstreamRecord {
  return {
    id,
    born,
    service: ServiceId(''),
    address: '',
    dataCentre: DataCentreId(''),
    phase: 'gone',
    slots: 0,
    accelerator: undefined,
    layers: undefined,
  };
}

function isSameList(a: readonly UpstreamRecord[], b: readonly UpstreamRecord[]): boolean {
  return (
    a.length === b.length &&
    a.every((record, i) => {
      const other = b[i]!;
      return record.id === other.id && isSame(record, other);
    })
  );
}

/** Whether an announcement of an upstream changes nothing of its record. */
export function isUnchanged(record: UpstreamRecord | undefined, announced: Announcement): boolean {
  if (!record || isLaterPhase(announced.phase, record.phase)) return false;
  // The leader decides whether it is there after all.
  if (record.phase === 'gone' && record.isRevocable && announced.phase === 'ready') return false;
  return isSame(record, { ...announced, phase: record.phase });
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
