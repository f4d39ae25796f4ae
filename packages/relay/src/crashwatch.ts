/**
 * Watches attempts for requests, and parts of prompts, that crash upstreams. It reports crashes and
 * answers to the leader, which finds the cause from the reports of all entries: repeats of one
 * request may arrive at any of them.
 */

import type { Clock, Logger, Millis } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Availability } from './availability.js';
import type { Call } from './call.js';
import { PartHistory } from './parthistory.js';
import { fingerprintOf, sharedPartsOf } from './quarantine.js';
import type { Quarantine } from './quarantine.js';
import type { UpstreamClient } from './upstream.js';

/** An attempt with this many events has begun to be answered: its prompt did not crash the upstream. */
const begunEvents = 2;

/** An upstream that is silent after an attempt broke is asked again for this long. */
const crashSearchMs: Millis = 2500;

/** Pause between two of these questions. */
const crashProbePauseMs: Millis = 150;

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: UpstreamClient;
  readonly quarantine: Quarantine;
  readonly availability: Pick<Availability, 'isLeaving'>;
}

/** The requests of one entry and the parts of their prompts. */
export class CrashWatch {
  private readonly history = PartHistory.create();
  /** For each crash that is not certain yet, what was answered since. */
  private readonly searches = new Set<Set<string>>();

  private constructor(private readonly o: CrashWatchOptions) {}

  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /**
   * Records that an attempt has received its `before + count`th event. From the second one on, the
   * parts of its prompt are sound; the request may still crash the upstream.
   */
  recordEvents(call: Call, before: number, count: number): void {
    if (before >= begunEvents || before + count < begunEvents) return;
    const parts = sharedPartsOf(call);
    this.history.recordAnswer(parts);
    this.acquit(parts);
  }

  /**
   * Records that a request was answered to its end, after `events` events: it is sound. An attempt
   * that was resumed tells nothing, as it did not run what earlier ones did.
   */
  recordAnswer(call: Call, events: number, isResumed: boolean): void {
    const parts = events < begunEvents ? sharedPartsOf(call) : [];
    this.acquit(isResumed ? parts : [fingerprintOf(call), ...parts]);
  }

  /** Records that an upstream has answered with an error: the parts of the prompt are sound. */
  recordError(call: Call): void {
    this.acquit(sharedPartsOf(call));
  }

  private acquit(subjects: readonly string[]): void {
    const { quarantine } = this.o;
    if (this.searches.size === 0 && !quarantine.hasSuspects()) return;
    for (const subject of subjects) {
      if (quarantine.isSuspected(subject)) quarantine.recordAnswer(subject);
      for (const answered of this.searches) answered.add(subject);
    }
  }

  /** Whether the request may crash upstreams, as it or one of its parts is suspected. */
  isSuspected(call: Call): boolean {
    const { quarantine } = this.o;
    if (!quarantine.hasSuspects()) return false;
    return (
      quarantine.isSuspected(fingerprintOf(call)) ||
      sharedPartsOf(call).some((p) => quarantine.isSuspected(p) && !this.history.wasAnswered(p))
    );
  }

  /**
   * Looks for a crash where the connection of an attempt broke after `events` events. Returns
   * whether the request may crash another upstream, as it or one of its parts is suspected already.
   */
  recordBreak(call: Call, upstream: UpstreamRecord, events: number, attemptMs: Millis): boolean {
    const hadBegun = events >= begunEvents;
    const mayCrashAgain = this.isSuspected(call);
    void this.reportIfCrashed(call, upstream, {
      request: fingerprintOf(call),
      parts: hadBegun ? [] : sharedPartsOf(call),
      hadBegun,
      attemptMs,
    });
    return mayCrashAgain;
  }

  /**
   * Reports a request and its parts if the upstream has ended after the attempt broke. One that still
   * replies did not crash: it broke off or garbled an answer.
   */
  private async reportIfCrashed(
    call: Call,
    upstream: UpstreamRecord,
    attempt: {
      readonly request: string;
      readonly parts: readonly string[];
      readonly hadBegun: boolean;
      readonly attemptMs: Millis;
    },
  ): Promise<void> {
    const { clock, logger, quarantine } = this.o;
    const crashedAt = clock.now();
    const answeredSince = new Set<string>();
    this.searches.add(answeredSince);
    const isGone = await this.isGone(call, upstream);
    this.searches.delete(answeredSince);
    if (!isGone || this.o.availability.isLeaving(upstream)) return;
    const { request, parts, hadBegun, attemptMs } = attempt;
    const { address } = upstream;
    const answered = this.history.recordCrash(parts);
    const ageMs = clock.now() - crashedAt;
    logger.info('May crash upstreams.', {
      request: call.id,
      upstream: upstream.id,
      fingerprint: request,
      hadBegun,
      parts: parts.join(', '),
    });
    quarantine.recordCrash({ request, address, hadBegun, parts, answered, attemptMs, ageMs });
    for (const subject of [request, ...parts]) {
      if (answeredSince.has(subject)) quarantine.recordAnswer(subject);
    }
  }

  /** Asks an upstream until it answers or is known to have ended; silence tells neither. */
  private async isGone(call: Call, upstream: UpstreamRecord): Promise<boolean> {
    const { clock, client, logger } = this.o;
    const until = clock.now() + crashSearchMs;
    for (;;) {
      const { kind } = await client.probe(call, upstream);
      if (kind !== 'silent') return kind === 'gone';
      if (clock.now() >= until) break;
      await clock.sleep(crashProbePauseMs);
    }
    logger.info('Not known whether the upstream crashed.', {
      request: call.id,
      upstream: upstream.id,
    });
    return false;
  }
}
