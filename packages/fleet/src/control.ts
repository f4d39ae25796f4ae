/**
 * A node of the control plane. It has a disk, votes, answers entries, upstreams and operators, and
 * leads when it is elected.
 */

import { isDeepStrictEqual } from 'node:util';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { OwnerTable, Serial, TaskGroup, createStopController, waitEnded } from '@tanagercart/base';
import type {
  Clock,
  Logger,
  Millis,
  NodeId,
  Random,
  ServiceId,
  UtilizationMeter,
} from '@tanagercart/base';
import { deltaOf } from '@tanagercart/config';
import type { Configuration } from '@tanagercart/config';
import type { Disk } from '@tanagercart/log';
import type {
  AdoptionCall,
  AdoptionReply,
  Announcement,
  BeatCall,
  BeatReply,
  CrashCall,
  CrashReply,
  Deregistration,
  EntryRecord,
  HeartbeatsCall,
  HeartbeatsReply,
  ReadReply,
  SubmitReply,
  Transport,
  UpstreamIncarnation,
  UpstreamRecord,
  WatchCall,
} from '@tanagercart/protocol';
import { decodeBulletin } from './bulletin.js';
import type { DecodedBulletin } from './bulletin.js';
import { HeartbeatCollector } from './heartbeats.js';
import { LeaderClient, noLeader } from './leaderclient.js';
import type { NoLeader } from './leaderclient.js';
import { LeaderTerm } from './leaderterm.js';
import { Membership } from './membership.js';
import type { OrderClient } from './placer.js';
import { goneRecord, isUnchanged } from './registry.js';
import { adoptionWaitMs } from './rollout.js';
import { strikesToQuarantine } from './state.js';
import type { Document } from './state.js';
import { Voter } from './voter.js';
import { WatchServer } from './watchserver.js';

/** Interval at which the leader reconciles the upstreams, and at which a follower retries. */
const reconcileIntervalMs: Millis = 100;

/** Time between two documents that the leader parses in order to place layers. */
const parseIntervalMs: Millis = 1000;

/** Time for a call to reach the leader. */
const forwardTimeoutMs: Millis = 900;

/** A voter that has not answered the leader for this long is given no upstreams. */
const heartbeatNodeSilenceMs: Millis = 500;

/** How long the leader may hold the call of a follower that waits for changes. */
const followHoldMs: Millis = 500;

export interface ControlOptions {
  readonly self: NodeId;
  /** Nodes that form the log when the cluster is started for the first time. */
  readonly initial: readonly NodeId[];
  /** Nodes that may know the voters. The list may change while the process runs. */
  readonly seeds: () => readonly NodeId[];
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Interval between two announcements of an upstream. */
  readonly heartbeatMs: Millis;
  readonly orders: OrderClient;
  /** Parses an accepted document; returns undefined if it cannot be parsed. */
  readonly parse: (text: string) => Configuration | undefined;
  readonly onBroken: (error: unknown) => void;
  /** Time for which a confirmation by the leader lets an entry answer requests. */
  readonly entryLeaseMs: Millis;
  /** Measures the load of this process. */
  readonly utilization: UtilizationMeter;
}

/** One node of the control plane, with its voter and its tasks. */
export class ControlNode {
  private readonly voter: Voter;
  private readonly membership: Membership;
  private readonly client: LeaderClient;
  private readonly heartbeats: HeartbeatCollector;
  private readonly watches: WatchServer;
  private readonly tasks: TaskGroup;
  private readonly stopping = createStopController();
  private leaderTerm: LeaderTerm | undefined;
  /** Whether the lease was held at the last check, while this node leads. */
  private hadLease = false;
  private readonly submissions = Serial.create();
  /** The entries as the leader last reported them; used while another node leads. */
  private followed: readonly EntryRecord[] = [];
  private followedRevision = '';
  /** The document that was parsed last, and when. */
  private parsed: { version: number; at: Millis; config: Configuration | undefined } | undefined;

  private constructor(private readonly o: ControlOptions) {
    const { transport, clock } = o;
    this.tasks = TaskGroup.create(o.onBroken);
    this.voter = Voter.create({ ...o, logger: o.logger.part('log') });
    const { voter } = this;
    this.membership = Membership.create({ ...o, voter, logger: o.logger.part('voters') });
    const candidates = () => {
      const { leader } = this.voter;
      return leader === undefined ? this.membership.nodes : [leader, ...this.membership.nodes];
    };
    this.client = LeaderClient.create({ transport, clock, candidates });
    this.watches = WatchServer.create({
      self: o.self,
      voter,
      clock,
      stop: this.stopping.signal,
      currentTerm: () => this.currentTerm(),
    });
    this.heartbeats = HeartbeatCollector.create(clock, async (heartbeats) => {
      const reply = await this.client.call('heartbeats', { heartbeats }, forwardTimeoutMs / 2);
      return reply.map(() => undefined);
    });
  }

  /** Creates a node, registers its call handlers and starts its tasks. */
  static create(options: ControlOptions): ControlNode {
    const node = new ControlNode(options);
    node.serve();
    node.tasks.start(() => node.voter.run(node.stopping.signal));
    node.tasks.start(() => node.membership.run(node.stopping.signal));
    node.tasks.start(() => node.reconcile());
    node.tasks.start(() => node.followLeader());
    return node;
  }

  /** The leader, as far as this node knows. */
  get leader(): NodeId | undefined {
    return this.voter.leader ?? this.client.leader;
  }

  /** Whether this node is the leader and holds the lease, so that no other node can lead. */
  get isLeader(): boolean {
    return this.voter.isLeader;
  }

  /** Whether the voter set contains this node with its present disk. */
  get isVoter(): boolean {
    return this.voter.isVoter;
  }

  /** Voters and learners of the log, as far as this node knows. */
  get voters(): readonly NodeId[] {
    return this.voter.members;
  }

  /** Entries that have called the leader recently, as far as this node knows. */
  get entries(): readonly EntryRecord[] {
    const leaderTerm = this.currentTerm();
    return leaderTerm ? leaderTerm.liveness.entries : this.followed;
  }

  /** The record of an upstream, as far as this node has applied the log. */
  upstream(id: UpstreamRecord['id']): UpstreamRecord | undefined {
    return this.voter.state.upstreams.get(id);
  }

  /** Records that an upstream told this node that it leaves, if this node leads. */
  recordLeaving(upstream: UpstreamIncarnation): void {
    this.currentTerm()?.registry.recordLeaving(upstream, { from: this.o.self });
  }

  /** Sends the announcement of an upstream to the leader; resolves once it is committed. */
  async announce(announcement: Announcement): Promise<Result<void, NoLeader>> {
    const isPlain = isUnchanged(this.upstream(announcement.id), announcement);
    if (isPlain && !this.isLeader && this.leaderTakesHeartbeats) {
      return this.heartbeats.add(announcement);
    }
    return this.forward({ announcement });
  }

  /**
   * Tells the leader that an upstream has left; resolves once the log says so. What this node knows
   * of the upstream may be out of date, and decides nothing.
   */
  deregister(deregistration: Deregistration): Promise<Result<void, NoLeader>> {
    const { id, born } = deregistration;
    const known = this.upstream(id);
    const record = goneRecord(id, born ?? known?.born ?? 0);
    const announcement = { ...record, sequence: Number.MAX_SAFE_INTEGER };
    return this.forward({ announcement, deregistration });
  }

  private async forward(call: BeatCall): Promise<Result<void, NoLeader>> {
    const reply = await this.client.call('beat', call, forwardTimeoutMs);
    if (reply.isErr()) return err(reply.error);
    return reply.value.kind === 'accepted' ? ok(undefined) : err(noLeader(true));
  }

  /**
   * The node to which an upstream should send its next heartbeats: this one, or another voter where
   * this one leads, which has more to do than the others.
   */
  heartbeatNode(upstream: UpstreamRecord['id']): NodeId {
    const { voter, o } = this;
    const { raft } = voter;
    if (!raft || !this.isLeader) return o.self;
    const others = raft.voterConfig.voters
      .map((m) => m.id)
      .filter((id) => id !== o.self && !this.membership.leaving.has(id))
      .filter((id) => raft.answeredWithin(id, heartbeatNodeSilenceMs));
    return OwnerTable.create<UpstreamRecord['id'], NodeId>(others).ownerOf(upstream) ?? o.self;
  }

  /**
   * Puts a validated document in force; returns the version in force afterwards, once entries that
   * lack it cannot answer for long; see `Rollout`. One that this node knows to be committed, as an
   * operator sends it again, needs no word of the leader.
   */
  async submit(document: Document): Promise<Result<number, NoLeader>> {
    const committed = this.voter.state.document.version;
    if (document.version <= committed) {
      await this.awaitAdoption(committed);
      return ok(committed);
    }
    const reply = await this.client.call('submit', document, forwardTimeoutMs);
    if (reply.isErr()) return err(reply.error);
    if (reply.value.kind !== 'accepted') {
      return err(noLeader(true));
    }
    const { inForce } = reply.value;
    await this.awaitAdoption(inForce);
    return ok(inForce);
  }

  /**
   * Waits until the leader says that the entries have a committed version, or until its commit is so
   * long ago that its word is not needed.
   */
  private async awaitAdoption(version: number): Promise<void> {
    const waitMs = adoptionWaitMs - this.voter.commitTimes.ageMsOf(version);
    if (waitMs <= 0) return;
    const stop = new AbortController();
    const elapsed = this.o.clock.sleep(waitMs, stop.signal);
    const asked = this.client.call('adoption', { version }, waitMs, { holdMs: waitMs });
    await Promise.race([elapsed, asked.then((reply) => (reply.isOk() ? undefined : elapsed))]);
    stop.abort(waitEnded);
  }

  /** Reads the document in force from the leader. The read is linearizable. */
  async readDocument(): Promise<Result<Document, NoLeader>> {
    const known = this.voter.state.document;
    const reply = await this.client.call('read', { knownVersion: known.version }, forwardTimeoutMs);
    if (reply.isErr()) return err(reply.error);
    if (reply.value.kind !== 'document') {
      return err(noLeader(false));
    }
    const { version, text } = reply.value;
    return ok({ version, text: text ?? known.text });
  }

  /** Hands leadership over, if this node leads, leaves the voter set, and ends all tasks. */
  async stop(): Promise<void> {
    await this.membership.leave();
    await this.end();
  }

  /** Ends all tasks without notice to other nodes. */
  async end(): Promise<void> {
    this.stopping.abort();
    this.leaderTerm?.stop();
    await this.tasks.join();
  }

  private serve(): void {
    const { transport } = this.o;
    transport.serve('watch', (from, call) => this.watches.handle(from, call));
    transport.serve('beat', (_, call) => this.handleBeat(call));
    transport.serve('heartbeats', (_, call) => this.handleHeartbeats(call));
    transport.serve('submit', (_, call) => this.handleSubmit(call));
    transport.serve('adoption', (_, call) => this.handleAdoption(call));
    transport.serve('read', (_, call) => this.handleRead(call.knownVersion));
    transport.serve('parts', (_, call) => this.handleCrash(call));
  }

  /**
   * The state of the current term, created when first needed; undefined while this node does not
   * hold the lease.
   */
  private currentTerm(): LeaderTerm | undefined {
    const { voter, o } = this;
    if (!voter.isLeader) return undefined;
    const { term } = voter.raft!;
    if (this.leaderTerm?.term === term) return this.leaderTerm;
    this.endTerm();
    o.logger.info('Began to lead.', { term });
    const nodes = () => this.membership.nodes;
    const isConfigured = (service: ServiceId) => this.isConfigured(service);
    this.leaderTerm = LeaderTerm.create({ ...o, voter, nodes, isConfigured }, term);
    return this.leaderTerm;
  }

  /** Reconciles the upstreams while this node leads, until the node is stopped. */
  private async reconcile(): Promise<void> {
    const { clock } = this.o;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const leaderTerm = this.currentTerm();
      if (!this.leadsKnownTerm) this.endTerm();
      this.logLease(leaderTerm !== undefined);
      const config = leaderTerm && this.configuration();
      if (leaderTerm && config) leaderTerm.reconcile(config);
      await clock.sleep(reconcileIntervalMs, signal);
    }
  }

  /** Logs when the lease lapses and when it is held again, within one term. */
  private logLease(held: boolean): void {
    if (!this.leaderTerm || held === this.hadLease) return;
    this.hadLease = held;
    const { term } = this.leaderTerm;
    if (held) this.o.logger.info('Holds the lease.', { term });
    else this.o.logger.warn('The lease has lapsed.', { term });
  }

  /**
   * Whether this node is still the leader of the term that `leaderTerm` was created for. A lapse of
   * the lease ends no term: no other node may lead it, and what is known of it remains valid.
   */
  private get leadsKnownTerm(): boolean {
    const { raft } = this.voter;
    return raft?.role === 'leader' && raft.term === this.leaderTerm?.term;
  }

  private endTerm(): void {
    if (!this.leaderTerm) return;
    this.o.logger.warn('Ceased to lead.', { term: this.leaderTerm.term });
    this.leaderTerm.stop();
    this.leaderTerm = undefined;
    this.hadLease = false;
  }

  /** Fetches the entries from the leader while another node leads, until the node is stopped. */
  private async followLeader(): Promise<void> {
    const { clock } = this.o;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (this.voter.isLeader) {
        await clock.sleep(followHoldMs, signal);
        continue;
      }
      const { state } = this.voter;
      const call: WatchCall = {
        entry: undefined,
        loads: [],
        suspicions: [],
        since: state.index,
        documentVersion: state.document.version,
        entriesRevision: this.followedRevision,
        waitMs: followHoldMs,
      };
      const reply = await this.client.call('watch', call, forwardTimeoutMs, {
        holdMs: followHoldMs,
      });
      if (reply.isOk()) this.followEntries(decodeBulletin(reply.value.bulletin));
      else await clock.sleep(reconcileIntervalMs, signal);
    }
  }

  private followEntries({ entries, entriesRevision = '' }: DecodedBulletin): void {
    if (!entries) return;
    this.followed = entries;
    this.followedRevision = entriesRevision;
  }

  /**
   * The configuration by which layers are placed. While documents follow one another quickly, it is
   * an earlier one, as a large document takes long to parse.
   */
  private configuration(): Configuration | undefined {
    const { version, text } = this.voter.state.document;
    if (version === 0) return undefined;
    const { parsed } = this;
    const now = this.o.clock.now();
    const isRecent = parsed && (parsed.version === version || now - parsed.at < parseIntervalMs);
    if (isRecent) return parsed.config;
    this.parsed = { version, at: now, config: this.o.parse(text) };
    return this.parsed.config;
  }

  private isConfigured(service: ServiceId): boolean {
    const config = this.configuration();
    return config === undefined || config.services.some((s) => s.id === service);
  }

  /**
   * Whether the leader takes collected heartbeats. One of an earlier version, which takes
   * announcements one by one only, names no revision of its list of entries.
   */
  private get leaderTakesHeartbeats(): boolean {
    return this.followedRevision !== '';
  }

  private notLeader(): { readonly kind: 'not-leader'; readonly leader: NodeId | undefined } {
    return { kind: 'not-leader', leader: this.voter.liveLeader };
  }

  private async handleBeat({ announcement, deregistration }: BeatCall): Promise<BeatReply> {
    const leaderTerm = this.currentTerm();
    if (!leaderTerm) return this.notLeader();
    const { registry, liveness } = leaderTerm;
    if (deregistration) return registry.deregister(deregistration, liveness);
    // A voter of an earlier version announces that an upstream has left.
    return announcement.phase === 'gone'
      ? registry.deregister(announcement, liveness)
      : registry.register(announcement, liveness);
  }

  private async handleHeartbeats({ heartbeats }: HeartbeatsCall): Promise<HeartbeatsReply> {
    const leaderTerm = this.currentTerm();
    if (!leaderTerm) return this.notLeader();
    for (const heartbeat of heartbeats) leaderTerm.liveness.recordHeartbeat(heartbeat);
    return { kind: 'accepted' };
  }

  /** Commits documents one at a time, as each is stored as a delta to the one before. */
  private handleSubmit(document: Document): Promise<SubmitReply> {
    return this.submissions.run(() => this.commitDocument(document));
  }

  private async commitDocument(document: Document): Promise<SubmitReply> {
    const { voter } = this;
    if (!voter.isLeader) return this.notLeader();
    const { document: base } = voter.state;
    const { version } = document;
    if (version <= base.version) return this.confirmVersion(base.version);
    const delta = deltaOf(base.text, document.text);
    const proposed = await voter.propose({ kind: 'document', version, base: base.version, delta });
    if (proposed.isErr()) return this.unavailable(proposed.error.kind);
    if (proposed.value.kind === 'base-differs') return this.unavailable('the base has changed');
    return { kind: 'accepted', inForce: voter.state.document.version };
  }

  /** Confirms that this node still leads, and so that `inForce` is the version in force. */
  private async confirmVersion(inForce: number): Promise<SubmitReply> {
    const proposed = await this.voter.propose({ kind: 'barrier' });
    return proposed.isOk() ? { kind: 'accepted', inForce } : this.unavailable(proposed.error.kind);
  }

  private async handleAdoption({ version }: AdoptionCall): Promise<AdoptionReply> {
    const leaderTerm = this.currentTerm();
    if (!leaderTerm) return this.notLeader();
    await leaderTerm.rollout.wait(version);
    return { kind: 'adopted' };
  }

  /**
   * Answers by the state that this node has applied: while it holds the lease no other node can have
   * committed anything. Without the lease it asks the other voters.
   */
  private async handleRead(knownVersion: number): Promise<ReadReply> {
    if (!this.voter.isLeader) {
      const proposed = await this.voter.propose({ kind: 'barrier' });
      if (proposed.isErr()) return this.unavailable(proposed.error.kind);
    }
    const { version, text } = this.voter.state.document;
    return { kind: 'document', version, text: version === knownVersion ? undefined : text };
  }

  private async handleCrash(call: CrashCall): Promise<CrashReply> {
    const { crash, answered, answeredAgesMs } = call;
    const leaderTerm = this.currentTerm();
    if (!leaderTerm) return { kind: 'not-leader' };
    const { crashes } = leaderTerm;
    const before = crashes.published;
    answered.forEach((subject, i) => crashes.acquit(subject, answeredAgesMs?.[i]));
    const guilty = crash ? crashes.record(crash) : [];
    if (!isDeepStrictEqual(crashes.published, before)) this.publish(leaderTerm);
    const done = await Promise.all(
      guilty.map(async (subject) => {
        const isQuarantined = await this.quarantine(subject);
        crashes.settle(subject, isQuarantined);
        return isQuarantined;
      }),
    );
    if (guilty.length > 0) this.publish(leaderTerm);
    return { kind: done.every(Boolean) ? 'recorded' : 'unavailable' };
  }

  /** Lets the entries know what has changed in the bulletin. */
  private publish({ liveness }: LeaderTerm): void {
    liveness.revision += 1;
    this.voter.changed.ring();
  }

  /** Records as many strikes as it takes to quarantine; returns whether they are committed. */
  private async quarantine(fingerprint: string): Promise<boolean> {
    this.o.logger.warn('Quarantining what crashes upstreams.', { fingerprint });
    const strikes = Array.from({ length: strikesToQuarantine }, () =>
      this.voter.propose({ kind: 'strike', fingerprint }),
    );
    return (await Promise.all(strikes)).every((s) => s.isOk());
  }

  private unavailable(
    reason: string,
  ): ReturnType<ControlNode['notLeader']> | { kind: 'unavailable'; reason: string } {
    return reason === 'not-leader' ? this.notLeader() : { kind: 'unavailable', reason };
  }
}
