/** The quarantine as the leader of the fleet keeps it. */

import type { FleetView, Watcher } from '@tanagercart/fleet';
import type { UpstreamCrash } from '@tanagercart/protocol';
import type { Quarantine } from './quarantine.js';

/** What the quarantine reads of the leader's state. */
export type QuarantineView = Pick<FleetView, 'quarantined' | 'suspects'>;

/** Reads the quarantine from the view of an entry, and reports crashes and answers to the leader. */
export class FleetQuarantine implements Quarantine {
  private constructor(
    private readonly view: QuarantineView,
    private readonly watcher: Pick<Watcher, 'reportCrash'>,
  ) {}

  static create(view: QuarantineView, watcher: Pick<Watcher, 'reportCrash'>): FleetQuarantine {
    return new FleetQuarantine(view, watcher);
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
    void this.watcher.reportCrash({ crash, answered: [] });
  }

  recordAnswer(subject: string): void {
    void this.watcher.reportCrash({ crash: undefined, answered: [subject] });
  }
}
