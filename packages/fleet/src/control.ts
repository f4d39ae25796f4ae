/** A node with a disk: it votes, answers entries and operators, and leads when it is elected. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TaskGroup, createStop } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import { deltaOf } from '@tanagercart/config';
import type { Configuration } from '@tanagercart/config';
import type { Disk } from '@tanagercart/log';
import { decode } from '@tanagercart/protocol';
import type {
  Announcement,
  BeatReply,
  Bulletin,
  EntryRecord,
  ReadReply,
  StrikeReply,
  SubmitReply,
  Transport,
  UpstreamRecord,
  WatchCall,
  WatchReply,
} from '@tanagercart/protocol';
import { LeaderLink } from './leader.js';
import type { NoLeader } from './leader.js';
import type { OrderClient } from './placer.js';
import { Reign } from './reign.js';
import type { Document } from './state.js';
import { Steward } from './steward.js';
import { Voter } from './voter.js';

/** How often the duties of a leader are looked at. */
const dutyMs: Millis = 100;

/** How long an operator's or upstream's call may look for the leader. */
const callMs: Millis = 900;

/** Changes that come together reach an entry together: a change waits this long for others. */
const gatherMs: Millis = 5;

/** How long a node that does not lead waits for changes of the entries. */
const followMs: Millis = 500;

export interface ControlOptions {
  readonly self: NodeId;
  readonly initial: readonly NodeId[];
  /** Nodes that may know the voters; may change while the process runs. */
  readonly seeds: () => readonly NodeId[];
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly heartbeatMs: Millis;
  readonly orders: OrderClient;
  /** Reads a document that was accepted. */
  readonly parse: (text: string) => Configuration | undefined;
  readonly onBroken: (error: unknown) => void;
}

/** One node of the control plane. */
export class ControlNode {
  private readonly voter: Voter;
  private readonly steward: Steward;
  private readonly link: LeaderLink;
  private readonly tasks: TaskGroup;
  private readonly stopping = createStop();
  private reign: Reign | undefined;
  private submitting: Promise<unknown> = Promise.resolve();
  private followed: readonly EntryRecord[] = [];
  private configured: { version: number; config: Configuration | undefined } | undefined;

  private constructor(private readonly o: ControlOptions) {
    const { transport, clock } = o;
    this.tasks = TaskGroup.create(o.onBroken);
    this.voter = Voter.create({ ...o, logger: o.logger.part('log') });
    const { voter } = this;
    this.steward = Steward.create({ ...o, voter, logger: o.logger.part('voters') });
    const candidates = () => {
      const { leader } = this.voter;
      return leader === undefined ? this.steward.nodes : [leader, ...this.steward.nodes];
    };
    this.link = LeaderLink.create({ transport, clock, candidates });
  }

  /** Serves calls and starts the tasks. */
  static create(options: ControlOptions): ControlNode {
    const node = new ControlNode(options);
    node.serve();
    node.tasks.start(() => node.voter.run(node.stopping.signal));
    node.tasks.start(() => node.steward.run(node.stopping.signal));
    node.tasks.start(() => node.doDuties());
    node.tasks.start(() => node.followLeader());
    return node;
  }

  /** The node that leads, as far as this one knows. */
  get leader(): NodeId | undefined {
    return this.voter.leader ?? this.link.leader;
  }

  /** Whether this node leads, and no other can. */
  get isLeader(): boolean {
    return this.voter.leads;
  }

  /** Whether this node votes, with the disk that it has. */
  get isVoter(): boolean {
    return this.voter.votes;
  }

  /** Voters and learners of the log, as far as this node knows. */
  get voters(): readonly NodeId[] {
    return this.voter.members;
  }

  /** Entries that callers may use, as far as this node knows. */
  get entries(): readonly EntryRecord[] {
    const reign = this.currentReign();
    return reign ? reign.roster.entries : this.followed;
  }

  /** What this node knows of an upstream. */
  upstream(id: UpstreamRecord['id']): UpstreamRecord | undefined {
    return this.voter.state.upstreams.get(id);
  }

  /** Accepts what an upstream announced; resolves once it is committed. */
  async announce(announcement: Announcement): Promise<Result<void, NoLeader>> {
    const reply = await this.link.call('beat', { announcement }, callMs);
    if (reply.isErr()) return err(reply.error);
    return reply.value.kind === 'accepted'
      ? ok(undefined)
      : err({ kind: 'no-leader', maybeDone: true });
  }

  /** Puts a document in force that was checked; the version in force afterwards. */
  async submit(document: Document): Promise<Result<number, NoLeader>> {
    const reply = await this.link.call('submit', document, callMs);
    if (reply.isErr()) return err(reply.error);
    return reply.value.kind === 'accepted'
      ? ok(reply.value.inForce)
      : err({ kind: 'no-leader', maybeDone: true });
  }

  /** The document in force, as the leader knows it after all that was committed before. */
  async readDocument(): Promise<Result<Document, NoLeader>> {
    const known = this.voter.state.document;
    const reply = await this.link.call('read', { knownVersion: known.version }, callMs);
    if (reply.isErr()) return err(reply.error);
    if (reply.value.kind !== 'document') return err({ kind: 'no-leader', maybeDone: false });
    const { version, text } = reply.value;
    return ok({ version, text: text ?? known.text });
  }

  /** Hands leadership over and ends all tasks. */
  async stop(): Promise<void> {
    const { raft } = this.voter;
    if (raft && this.voter.leads) await raft.transferLeadership();
    this.stopping.abort();
    this.reign?.end();
    await this.tasks.join();
  }

  private serve(): void {
    const { transport } = this.o;
    transport.serve('watch', (from, call) => this.onWatch(from, call));
    transport.serve('beat', (_, call) => this.onBeat(call.announcement));
    transport.serve('submit', (_, call) => this.onSubmit(call));
    transport.serve('read', (_, call) => this.onRead(call.knownVersion));
    transport.serve('strike', (_, call) => this.onStrike(call.fingerprint));
  }

  /** What this node keeps as the leader; undefined where it does not lead. */
  private currentReign(): Reign | undefined {
    const { voter, o } = this;
    if (!voter.leads) return undefined;
    const { term } = voter.raft!;
    if (this.reign?.term === term) return this.reign;
    this.reign?.end();
    this.reign = Reign.create({ ...o, voter, nodes: () => this.steward.nodes }, term);
    return this.reign;
  }

  /** Task: looks after the upstreams while this node leads. */
  private async doDuties(): Promise<void> {
    const { clock } = this.o;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const reign = this.currentReign();
      if (!reign && this.reign) this.abdicate();
      const config = reign && this.configuration();
      if (reign && config) reign.step(config);
      await clock.sleep(dutyMs, signal);
    }
  }

  private abdicate(): void {
    this.reign?.end();
    this.reign = undefined;
  }

  /** Task: learns the entries from the leader while another node leads. */
  private async followLeader(): Promise<void> {
    const { clock } = this.o;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (this.voter.leads) {
        await clock.sleep(followMs, signal);
        continue;
      }
      const { state } = this.voter;
      const call: WatchCall = {
        entry: undefined,
        loads: [],
        suspicions: [],
        since: state.index,
        documentVersion: state.document.version,
        waitMs: followMs,
      };
      const reply = await this.link.call('watch', call, callMs, followMs);
      if (reply.isOk()) this.followed = decode<Bulletin>(reply.value.bulletin).entries;
      else await clock.sleep(dutyMs, signal);
    }
  }

  private configuration(): Configuration | undefined {
    const { version, text } = this.voter.state.document;
    if (version === 0) return undefined;
    if (this.configured?.version !== version) {
      this.configured = { version, config: this.o.parse(text) };
    }
    return this.configured.config;
  }

  private notLeader(): { readonly kind: 'not-leader'; readonly leader: NodeId | undefined } {
    return { kind: 'not-leader', leader: this.voter.leader };
  }

  private async onWatch(from: NodeId, call: WatchCall): Promise<WatchReply> {
    const reign = this.currentReign();
    if (!reign) return this.notLeader();
    const { state, changed } = this.voter;
    if (reign.roster.hearEntry(from, call)) changed.ring();
    const isNew = state.index > call.since || call.since === 0;
    if (!isNew) await changed.waitUpTo(call.waitMs, this.o.clock, this.stopping.signal);
    await reign.pace(from, isNew ? 0 : gatherMs);
    if (this.currentReign() !== reign) return this.notLeader();
    return {
      kind: 'update',
      index: state.index,
      ...state.changesSince(call.since),
      document: state.documentUpdate(call.documentVersion),
      bulletin: reign.board.bytes,
    };
  }

  private async onBeat(announcement: Announcement): Promise<BeatReply> {
    const reign = this.currentReign();
    return reign ? reign.intake.take(announcement, reign.roster) : this.notLeader();
  }

  /** Documents are taken one after the other, as each is stored as a difference to the one before. */
  private onSubmit(document: Document): Promise<SubmitReply> {
    const run = this.submitting.then(() => this.takeDocument(document));
    this.submitting = run.catch(() => undefined);
    return run;
  }

  private async takeDocument(document: Document): Promise<SubmitReply> {
    const { voter } = this;
    if (!voter.leads) return this.notLeader();
    const { document: base } = voter.state;
    const { version } = document;
    if (version <= base.version) return this.confirm(base.version);
    const delta = deltaOf(base.text, document.text);
    const done = await voter.propose({ kind: 'document', version, base: base.version, delta });
    if (done.isErr()) return this.unavailable(done.error.kind);
    if (done.value.kind === 'base-differs') return this.unavailable('the base has changed');
    return { kind: 'accepted', inForce: voter.state.document.version };
  }

  private async confirm(inForce: number): Promise<SubmitReply> {
    const done = await this.voter.propose({ kind: 'barrier' });
    return done.isOk() ? { kind: 'accepted', inForce } : this.unavailable(done.error.kind);
  }

  private async onRead(knownVersion: number): Promise<ReadReply> {
    const done = await this.voter.propose({ kind: 'barrier' });
    if (done.isErr()) return this.unavailable(done.error.kind);
    const { version, text } = this.voter.state.document;
    return { kind: 'document', version, text: version === knownVersion ? undefined : text };
  }

  private async onStrike(fingerprint: string): Promise<StrikeReply> {
    const done = await this.voter.propose({ kind: 'strike', fingerprint });
    if (done.isOk()) return { kind: 'recorded' };
    return { kind: done.error.kind === 'not-leader' ? 'not-leader' : 'unavailable' };
  }

  private unavailable(
    reason: string,
  ): ReturnType<ControlNode['notLeader']> | { kind: 'unavailable'; reason: string } {
    return reason === 'not-leader' ? this.notLeader() : { kind: 'unavailable', reason };
  }
}
