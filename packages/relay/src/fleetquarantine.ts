/** The quarantine as the leader of the fleet keeps it. */

import { silentLogger } from '@tanagercart/base';
import type { Clock, Logger, Millis } from '@tanagercart/base';
import type { FleetView, Watcher } from '@tanagercart/fleet';
import type { UpstreamCrash } from '@tanagercart/protocol';
import { CrashMemory } from './crashmemory.js';
import type { LeaderTermName, RememberedAnswer, RememberedCrash } from './crashmemory.js';
import type { Quarantine } from './quarantine.js';

/** A crash is reported until the leader has answered, or this time has passed. */
const reportMs: Millis = 10_000;

/** Pause before a report is sent again. */
const reportPauseMs: Millis = 200;

/** Interval at which a new leader is looked for, and told what it does not know. */
const repeatIntervalMs: Millis = 200;

/**
 * Crashes that all entries together tell a new leader in one interval, the latest first; it has much
 * to do in its first seconds.
 */
const crashesPerInterval = 40;

/** Answers that are as much work for the leader as one crash; one message tells of many. */
const answersPerCrash = 10;

/** What the quarantine reads of the leader's state. */
export type QuarantineView = Pick<FleetView, 'quarantined' | 'suspects' | 'leaderTerm' | 'entries'>;

/** Reads the quarantine from the view of an entry, and reports crashes and answers to the leader. */
export class FleetQuarantine implements Quarantine {
  private readonly memory = CrashMemory.create();

  private constructor(
    private readonly view: QuarantineView,
    private readonly watcher: Pick<Watcher, 'reportCrash'>,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  static create(
    view: QuarantineView,
    watcher: Pick<Watcher, 'reportCrash'>,
    clock: Clock,
    logger: Logger = silentLogger,
  ): FleetQuarantine {
    return new FleetQuarantine(view, watcher, clock, logger);
  }

  isEmpty(): boolean {
    return this.view.quarantined.size === 0;
  }

  has(subject: string): boolean {
    return this.view.quarantined.has(subject);
  }

  hasSuspects(): boolean {
    return this.view.suspects.size > 0;
  }

  isSuspected(subject: string): boolean {
    return this.view.suspects.has(subject);
  }

  /** Tells each new leader what this entry saw under earlier ones, until `stop` is aborted. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, memory, view } = this;
    while (!stop.aborted) {
      const share = crashesPerInterval / Math.max(1, view.entries.length);
      await clock.sleep(repeatIntervalMs / Math.min(1, share), stop);
      const { leaderTerm: term, suspects, quarantined } = view;
      if (term === undefined) continue;
      memory.recordLeader({ term, suspects, quarantined }, clock.now());
      await this.reportAgain(term, Math.max(1, Math.floor(share)));
    }
  }

  recordCrash(crash: UpstreamCrash): void {
    void this.report(this.memory.addCrash(crash, this.clock.now()));
  }

  recordAnswer(subject: string): void {
    void this.sendAnswers([this.memory.addAnswer(subject, this.clock.now())]);
  }

  /** Reports a crash again until the leader has answered; it counts a crash once. */
  private async report(remembered: RememberedCrash): Promise<void> {
    const { clock } = this;
    while (clock.now() - remembered.at < reportMs) {
      if (await this.sendCrash(remembered)) return;
      await clock.sleep(reportPauseMs);
    }
  }

  private async reportAgain(term: LeaderTermName, maxCrashes: number): Promise<void> {
    const { crashes, answers } = this.memory.unreported(term);
    if (crashes.length + answers.length === 0) return;
    const fields = { term, crashes: crashes.length, answers: answers.length };
    this.logger.info('Telling a new leader of crashes.', fields);
    // Before crashes, so that none counts for which there was an answer.
    if (answers.length > 0) {
      await this.sendAnswers(answers.slice(-maxCrashes * answersPerCrash));
      return;
    }
    for (const crash of crashes.slice(-maxCrashes).reverse()) {
      if (!(await this.sendCrash(crash))) return;
    }
  }

  private async sendCrash(remembered: RememberedCrash): Promise<boolean> {
    const { crash, at } = remembered;
    const { leaderTerm } = this.view;
    const ageMs = this.clock.now() - at;
    const isRecorded = await this.watcher.reportCrash({ crash: { ...crash, ageMs }, answered: [] });
    if (isRecorded) remembered.reportedTo = leaderTerm;
    return isRecorded;
  }

  private async sendAnswers(answers: readonly RememberedAnswer[]): Promise<void> {
    const now = this.clock.now();
    const { leaderTerm } = this.view;
    const isRecorded = await this.watcher.reportCrash({
      crash: undefined,
      answered: answers.map(({ subject }) => subject),
      answeredAgesMs: answers.map(({ at }) => now - at),
    });
    if (!isRecorded) return;
    for (const answer of answers) answer.reportedTo = leaderTerm;
  }
}
