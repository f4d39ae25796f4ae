/** What a leader keeps for the time that it leads, and loses with its term. */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { Configuration } from '@tanagercart/config';
import type { Bulletin, UpstreamRecord } from '@tanagercart/protocol';
import { BulletinBoard } from './bulletin.js';
import { Intake } from './intake.js';
import { Pacer } from './pacer.js';
import { Placer } from './placer.js';
import type { OrderClient } from './placer.js';
import { Roster } from './roster.js';
import { Sweeper } from './sweeper.js';
import type { Voter } from './voter.js';

/** Time of the leader that one answer takes on a small machine: no entry is answered more often. */
const answerMsPerEntry: Millis = 2;

export interface ReignOptions {
  readonly voter: Voter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMs: Millis;
  readonly orders: OrderClient;
  /** Nodes with a disk that were heard of, voters first. */
  readonly nodes: () => readonly NodeId[];
}

/** One term of a leader. */
export class Reign {
  readonly roster: Roster;
  readonly intake: Intake;
  /** What all entries are told alike. */
  readonly board: BulletinBoard;
  private readonly placer: Placer;
  private readonly pacer: Pacer;
  private readonly sweeper: Sweeper;
  private readonly answeredAt = new Map<NodeId, Millis>();

  private constructor(
    private readonly o: ReignOptions,
    readonly term: number,
  ) {
    const { voter, clock, orders } = o;
    const logger = o.logger.part('upstreams');
    this.roster = Roster.create(clock, o.heartbeatMs);
    const { roster } = this;
    const isOrdered = (id: UpstreamRecord['id']) => this.placer.isOrdered(id);
    this.intake = Intake.create({ voter, clock, logger, isOrdered });
    const { intake } = this;
    const placing = { voter, roster, intake, orders, clock, logger: o.logger.part('layers') };
    this.placer = Placer.create(placing, term);
    this.pacer = Pacer.create({ orders, clock, logger });
    const forget = async (upstreams: readonly UpstreamRecord['id'][]) =>
      (await voter.propose({ kind: 'forget', upstreams })).isOk();
    this.sweeper = Sweeper.create({ clock, logger, forget });
    const revision = () => roster.revision;
    this.board = BulletinBoard.create({ clock, revision, gather: () => this.bulletin() });
  }

  static create(options: ReignOptions, term: number): Reign {
    return new Reign(options, term);
  }

  /** Looks after the upstreams. */
  step(config: Configuration): void {
    const { upstreams } = this.o.voter.state;
    this.placer.step(config);
    this.pacer.step(stagesOf(config, upstreams.values()));
    this.sweeper.step(upstreams);
  }

  /** Starts no further orders. */
  end(): void {
    this.placer.end();
  }

  /** Waits for at least `leastMs`, and until an entry may be answered again. */
  async pace(entry: NodeId, leastMs: Millis): Promise<void> {
    const { clock } = this.o;
    const now = clock.now();
    const lastAt = this.answeredAt.get(entry) ?? -Infinity;
    const dueAt = Math.max(now + leastMs, lastAt + answerMsPerEntry * this.roster.entryCount);
    if (dueAt > now) await clock.sleep(dueAt - now);
    this.answeredAt.set(entry, clock.now());
  }

  private bulletin(): Bulletin {
    const { roster, pacer, o } = this;
    return {
      entries: roster.entries,
      voters: o.nodes(),
      loads: [...roster.loads.values()],
      suspicions: roster.toPassBy(o.voter.state.upstreams.values()),
      slow: pacer.slow,
    };
  }
}

/** Upstreams that hold layers. */
function stagesOf(
  config: Configuration,
  records: Iterable<UpstreamRecord>,
): readonly UpstreamRecord[] {
  const engines = new Set(config.services.filter((s) => s.engine).map((s) => s.id));
  return [...records].filter(
    (r) => r.phase === 'ready' && r.layers !== undefined && engines.has(r.service),
  );
}
