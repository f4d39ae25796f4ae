/**
 * Finds the part of prompts that crashes upstreams, at the leader. Each crash strikes every request
 * that was about to be answered there, and so sound parts too; but a sound part is soon answered
 * elsewhere, and one that crashes upstreams never is.
 */

import type { Clock, Millis } from '@tanagercart/base';
import type { PartCrash } from '@tanagercart/protocol';

/** Crashes in sequence after which a part that was never answered is to be quarantined. */
const crashesToQuarantine = 3;

/** The same for a part that was answered before its first crash, in at least `knownPartSpanMs`. */
const knownPartCrashes = 5;
const knownPartSpanMs: Millis = 2000;

/** Reports of attempts and crashes that follow one another may be this much out of order. */
const reportJitterMs: Millis = 20;

/** A suspicion without a further crash is dropped after this time. */
const suspicionMs: Millis = 30_000;

interface Suspicion {
  readonly firstAt: Millis;
  crashedAt: Millis;
  crashes: number;
  /** Whether an entry had seen an answer to the part before a crash. */
  wasAnswered: boolean;
}

/** Suspicions against parts of prompts during one term of the leader. */
export class PartCrashes {
  private readonly suspicions = new Map<string, Suspicion>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PartCrashes {
    return new PartCrashes(clock);
  }

  /** Parts that were struck by a crash and have not been answered since. */
  get suspected(): readonly string[] {
    return [...this.suspicions.keys()];
  }

  /** Records a crash; returns the parts that are to be quarantined. */
  record(crash: PartCrash): readonly string[] {
    const now = this.clock.now();
    this.dropOutdated(now);
    const answered = new Set(crash.answered);
    const crashedAt = now - crash.ageMs;
    const guilty = crash.parts.filter((part) => {
      const suspicion = this.strike(part, crashedAt - crash.attemptMs, crashedAt);
      suspicion.wasAnswered ||= answered.has(part);
      return isGuilty(suspicion);
    });
    // The part that is found explains the strikes against those that came with it.
    if (guilty.length > 0) this.suspicions.clear();
    return guilty;
  }

  /** Ends the suspicion against a part, as it was answered. */
  acquit(part: string): void {
    this.suspicions.delete(part);
  }

  /**
   * Counts a crash if the attempt began after the last one. Attempts that were in progress at once
   * may have been cut by the same crash, or by a loss of several upstreams at the same time.
   */
  private strike(part: string, startedAt: Millis, crashedAt: Millis): Suspicion {
    const known = this.suspicions.get(part);
    if (!known) {
      const first = { firstAt: crashedAt, crashedAt, crashes: 1, wasAnswered: false };
      this.suspicions.set(part, first);
      return first;
    }
    if (startedAt + reportJitterMs < known.crashedAt) return known;
    known.crashedAt = crashedAt;
    known.crashes += 1;
    return known;
  }

  private dropOutdated(now: Millis): void {
    for (const [part, { crashedAt }] of this.suspicions) {
      if (now - crashedAt > suspicionMs) this.suspicions.delete(part);
    }
  }
}

function isGuilty({ crashes, wasAnswered, firstAt, crashedAt }: Suspicion): boolean {
  if (!wasAnswered) return crashes >= crashesToQuarantine;
  return crashes >= knownPartCrashes && crashedAt - firstAt >= knownPartSpanMs;
}
