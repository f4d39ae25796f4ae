/** The quarantine as the leader of the fleet keeps it. */

import type { Digest } from '@tanagercart/base';
import type { FleetView, Watcher } from '@tanagercart/fleet';
import type { PartCrash } from '@tanagercart/protocol';
import type { Quarantine } from './quarantine.js';

/** What the quarantine reads of the leader's state. */
export type QuarantineView = Pick<FleetView, 'quarantined' | 'suspectedParts'>;

/** Reads the quarantine from the view of an entry, and reports crashes and answers to the leader. */
export class FleetQuarantine implements Quarantine {
  private constructor(
    private readonly view: QuarantineView,
    private readonly watcher: Pick<Watcher, 'strike' | 'reportParts'>,
  ) {}

  static create(view: QuarantineView, watcher: Pick<Watcher, 'strike' | 'reportParts'>) {
    return new FleetQuarantine(view, watcher);
  }

  isEmpty(): boolean {
    return this.view.quarantined.size === 0;
  }

  has(fingerprint: Digest): boolean {
    return this.view.quarantined.has(fingerprint);
  }

  recordCrash(fingerprint: Digest): void {
    void this.watcher.strike(fingerprint);
  }

  hasPart(part: string): boolean {
    return this.view.quarantined.has(part);
  }

  isPartSuspected(part: string): boolean {
    return this.view.suspectedParts.has(part);
  }

  recordPartCrash(crash: PartCrash): void {
    void this.watcher.reportParts({ crash, answered: [] });
  }

  recordPartAnswered(part: string): void {
    void this.watcher.reportParts({ crash: undefined, answered: [part] });
  }
}
