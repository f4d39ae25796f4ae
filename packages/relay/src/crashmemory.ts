/**
 * What an entry remembers of crashes and of answers to suspected requests, for a leader that was
 * elected since. The leader keeps its suspicions for one term only: what each entry saw, told again
 * with its age, makes up the same suspicions.
 */

import type { Millis } from '@tanagercart/base';
import { crashMemoryMs } from '@tanagercart/fleet';
import type { UpstreamCrash } from '@tanagercart/protocol';

/** Bounds the crashes, and the answers, that are remembered. */
const maxRemembered = 1000;

/** The term of a leader, as `FleetView` names it. */
export type LeaderTermName = string;

/** A crash that this entry saw. */
export interface RememberedCrash {
  readonly crash: UpstreamCrash;
  readonly at: Millis;
  /** The term whose leader was told last; undefined if none was. */
  reportedTo: LeaderTermName | undefined;
}

/** The last answer to a request or part that was suspected. */
export interface RememberedAnswer {
  readonly subject: string;
  readonly at: Millis;
  reportedTo: LeaderTermName | undefined;
}

/** What the leader of a term says. */
export interface LeaderState {
  readonly term: LeaderTermName;
  readonly suspects: ReadonlySet<string>;
  readonly quarantined: ReadonlySet<string>;
}

/** The memory of one entry. */
export class CrashMemory {
  private crashes: RememberedCrash[] = [];
  private readonly answers = new Map<string, RememberedAnswer>();
  private last: LeaderState | undefined;

  static create(): CrashMemory {
    return new CrashMemory();
  }

  /** Remembers a crash; `crash.ageMs` is its age at `now`. */
  addCrash(crash: UpstreamCrash, now: Millis): RememberedCrash {
    const remembered = { crash, at: now - crash.ageMs, reportedTo: undefined };
    this.crashes = [...this.crashes, remembered].slice(-maxRemembered);
    return remembered;
  }

  /** Remembers that a request or part was answered at `now`. */
  addAnswer(subject: string, now: Millis): RememberedAnswer {
    const answer = { subject, at: now, reportedTo: undefined };
    this.answers.delete(subject);
    this.answers.set(subject, answer);
    if (this.answers.size > maxRemembered) this.answers.delete(this.answers.keys().next().value!);
    return answer;
  }

  /**
   * Takes note of what the leader says. What it no longer suspects, and has not quarantined, was
   * answered somewhere: so this entry can tell that, too, if the one that saw it is gone.
   */
  recordLeader(state: LeaderState, now: Millis): void {
    this.dropOutdated(now);
    const { last } = this;
    this.last = state;
    if (last?.term !== state.term) return;
    for (const subject of last.suspects) {
      if (state.suspects.has(subject) || state.quarantined.has(subject)) continue;
      this.addAnswer(subject, now).reportedTo = state.term;
    }
  }

  /**
   * Crashes and answers that the leader of `term` has not been told of. Crashes of requests that were
   * answered since are left out.
   */
  unreported(term: LeaderTermName): {
    readonly crashes: readonly RememberedCrash[];
    readonly answers: readonly RememberedAnswer[];
  } {
    const isUnreported = ({ reportedTo }: { readonly reportedTo: string | undefined }) =>
      reportedTo !== term;
    return {
      crashes: this.crashes.filter((c) => isUnreported(c) && !this.wasAnsweredSince(c)),
      answers: [...this.answers.values()].filter(isUnreported),
    };
  }

  private wasAnsweredSince({ crash: { request }, at }: RememberedCrash): boolean {
    const answer = request === undefined ? undefined : this.answers.get(request);
    return answer !== undefined && answer.at >= at;
  }

  private dropOutdated(now: Millis): void {
    const isOutdated = ({ at }: { readonly at: Millis }) => now - at > crashMemoryMs;
    if (this.crashes.some(isOutdated)) this.crashes = this.crashes.filter((c) => !isOutdated(c));
    for (const [subject, answer] of this.answers) {
      if (isOutdated(answer)) this.answers.delete(subject);
    }
  }
}
