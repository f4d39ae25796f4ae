/** The quarantine as the leader of the fleet keeps it. */

import type { Clock, Millis } from '@tanagercart/base';
import type { FleetView, Watcher } from '@tanagercart/fleet';
import type { UpstreamCrash } from '@tanagercart/protocol';
import type { Quarantine } from './quarantine.js';

/** A crash is reported until the leader has answered, or this time has passed. */
const reportMs: Millis = 10_000;

/** Pause before a report is sent again. */
const reportPauseMs: Millis = 200;

/** What the quarantine reads of the leader's state. */
export type QuarantineView = Pick<FleetView, 'quarantined' | 'suspects'>;

/** Reads the quarantine from the view of an entry, and reports crashes and answers to the leader. */
export class FleetQuarantine implements Quarantine {
  private constructor(
    private readonly view: QuarantineView,
    private readonly watcher: Pick<Watcher, 'reportCrash'>,
    private readonly clock: Clock,
  ) {}

  static create(
    view: QuarantineView,
    watcher: Pick<Watcher, 'reportCrash'>,
    clock: Clock,
  ): FleetQuarantine {
    return new FleetQuarantine(view, watcher, clock);
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

  recordCrash(crash: UpstreamCrash): void {
    void this.report(crash);
  }

  /** Reports a crash again until the leader has answered; it counts a crash once. */
  private async report(crash: UpstreamCrash): Promise<void> {
    const { clock, watcher } = this;
    const crashedAt = clock.now() - crash.ageMs;
    for (let { ageMs } = crash; ageMs < reportMs; ageMs = clock.now() - crashedAt) {
      if (await watcher.reportCrash({ crash: { ...crash, ageMs }, answered: [] })) return;
      await clock.sleep(reportPauseMs);
    }
  }

  recordAnswer(subject: string): void {
    void this.watcher.reportCrash({ crash: undefined, answered: [subject] });
  }
}
