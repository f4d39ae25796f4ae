/**
 * Watches attempts for parts of prompts that crash upstreams, and reports crashes and answers to the
 * leader, which finds the part from the reports of all entries.
 */

import type { Clock, Logger, Millis } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Call } from './call.js';
import { PartHistory } from './parthistory.js';
import { sharedPartsOf } from './quarantine.js';
import type { Quarantine } from './quarantine.js';
import type { UpstreamClient } from './upstream.js';

/** An attempt with this many events is being answered: its prompt did not crash the upstream. */
const answeredEvents = 2;

export interface PartWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: UpstreamClient;
  readonly quarantine: Quarantine;
}

/** The parts of the prompts of one entry. */
export class PartWatch {
  private readonly history = PartHistory.create();

  private constructor(private readonly o: PartWatchOptions) {}

  static create(options: PartWatchOptions): PartWatch {
    return new PartWatch(options);
  }

  /**
   * Records that an attempt has received its `before + count`th event. From the second one on, the
   * parts of its prompt are sound.
   */
  recordEvents(call: Call, before: number, count: number): void {
    if (before >= answeredEvents || before + count < answeredEvents) return;
    const { quarantine } = this.o;
    const parts = sharedPartsOf(call);
    this.history.recordAnswer(parts);
    for (const part of parts) {
      if (quarantine.isPartSuspected(part)) quarantine.recordPartAnswered(part);
    }
  }

  /**
   * Looks for a crash where the connection of an attempt broke after `events` events. Returns
   * whether the request may crash another upstream, as one of its parts is suspected already.
   */
  recordBreak(call: Call, upstream: UpstreamRecord, events: number, attemptMs: Millis): boolean {
    const parts = sharedPartsOf(call);
    if (parts.length === 0 || events >= answeredEvents) return false;
    const mayCrashAgain = parts.some(
      (p) => this.o.quarantine.isPartSuspected(p) && !this.history.wasAnswered(p),
    );
    void this.reportIfCrashed(call, upstream, parts, attemptMs);
    return mayCrashAgain;
  }

  /**
   * Reports the parts of a prompt if the upstream is down after the attempt broke. One that still
   * replies did not crash: it broke off or garbled an answer.
   */
  private async reportIfCrashed(
    call: Call,
    upstream: UpstreamRecord,
    parts: readonly string[],
    attemptMs: Millis,
  ): Promise<void> {
    const { clock, client, logger, quarantine } = this.o;
    const crashedAt = clock.now();
    const probed = await client.probe(call, upstream);
    if (probed.kind !== 'unreachable') return;
    const answered = this.history.recordCrash(parts);
    const ageMs = clock.now() - crashedAt;
    logger.info('A part may crash upstreams.', { request: call.id, parts: parts.join(', ') });
    quarantine.recordPartCrash({ parts, answered, attemptMs, ageMs });
  }
}
