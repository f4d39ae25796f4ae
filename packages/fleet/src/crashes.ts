/**
 * Finds the requests, and the parts of prompts, that crash upstreams, at the leader. Each crash
 * strikes every request that was running there, and so sound ones too; but a sound request is
 * answered elsewhere, and one that crashes upstreams never is to its end. Parts are struck by
 * requests whose answer had not begun, and sound once an answer to any request with them begins.
 */

import type { Clock, Millis } from '@tanagercart/base';
import type { UpstreamCrash } from '@tanagercart/protocol';
import { CrashLog } from './crashlog.js';
import type { Crash } from './crashlog.js';

/** Crashes in sequence after which a request or part that was never answered is quarantined. */
const crashesToQuarantine = 3;

/** The same for a part that was answered before its first crash, in at least `knownPartSpanMs`. */
const knownPartCrashes = 5;
const knownPartSpanMs: Millis = 2000;

/**
 * The same for a request whose answers had begun, where its first crashes may be due to something
 * else: to another request that was struck by the same ones, or to what ends other upstreams, or
 * the same one again.
 */
const uncertainCrashes = 5;

/** Reports of attempts and crashes that follow one another may be this much out of order. */
const reportJitterMs: Millis = 20;

/**
 * A suspicion against a request without a further crash is dropped after this time. A request may
 * come again at any time, and a sound one is answered then.
 */
export const crashMemoryMs: Millis = 60 * 60_000;

/** The same against a part, of which entries are told from the first crash on. */
const partMemoryMs: Millis = 30_000;

/** Bounds the suspicions; those against requests that a single crash struck give way, oldest first. */
const maxSuspicions = 5000;

/** Outdated suspicions are looked for this often: a crash may be reported by hundreds of streams. */
const dropIntervalMs: Millis = 500;

/**
 * Entries are told of a request from this crash on. Most requests that a single crash strikes are
 * sound, and there may be hundreds of them.
 */
const crashesToPublishRequest = 2;

/** Bounds the crashes that are remembered of one suspicion. */
const maxCrashes = 16;

/** Bounds the answers whose times are remembered. */
const maxAnswers = 5000;

/** An attempt that ended in a crash, by the clock of the leader. */
interface CrashedAttempt {
  readonly startedAt: Millis;
  readonly crashedAt: Millis;
  /** Whether its answer had begun. */
  readonly hadBegun: boolean;
  /** Undefined where an older entry has reported it. */
  readonly crash: Crash | undefined;
}

interface Suspicion {
  readonly kind: 'request' | 'part';
  /** Attempts that followed one another, in any order. */
  readonly attempts: CrashedAttempt[];
  /** Whether an entry had seen an answer to the part before a crash. */
  wasAnswered: boolean;
  /** The request that caused all crashes; undefined where several did, or it is not known. */
  soleRequest: string | undefined;
}

/**
 * Suspicions against requests and parts of prompts during one term of the leader. Entries tell a new
 * leader again what they saw, in any order, so each crash and each answer counts by its own time.
 */
export class CrashSuspicions {
  /** By the fingerprint of the request, or the name of the part. */
  private readonly suspicions = new Map<string, Suspicion>();
  /** Suspicions that led to a quarantine of which it is not known yet whether it is in the log. */
  private readonly convicted = new Map<string, Suspicion>();
  private readonly log = CrashLog.create();
  /** Times of the last answers to what was suspected; earlier crashes strike it no more. */
  private readonly answeredAt = new Map<string, Millis>();
  private droppedAt: Millis = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly isQuarantined: (subject: string) => boolean,
  ) {}

  /** `isQuarantined` tells whether a request or part is quarantined by the log. */
  static create(
    clock: Clock,
    isQuarantined: (subject: string) => boolean = () => false,
  ): CrashSuspicions {
    return new CrashSuspicions(clock, isQuarantined);
  }

  /** Number of suspicions. */
  get size(): number {
    return this.suspicions.size;
  }

  /**
   * What entries are told: the suspected parts and requests, and those of which it is not known yet
   * whether their quarantine is in the log.
   */
  get published(): readonly string[] {
    return [...this.suspected, ...this.convicted.keys()];
  }

  /** Parts and requests that were struck by crashes and have not been answered since. */
  get suspected(): readonly string[] {
    this.dropOutdated(this.clock.now());
    return [...this.suspicions].filter(([, s]) => isPublished(s)).map(([subject]) => subject);
  }

  /**
   * Records a crash; returns the request or the parts that are to be quarantined. `settle` is to be
   * called for each of them.
   */
  record(crash: UpstreamCrash): readonly string[] {
    const now = this.clock.now();
    this.dropOutdated(now);
    const answered = new Set(crash.answered);
    const crashedAt = now - crash.ageMs;
    const { request, address, attemptMs, hadBegun = false } = crash;
    // Told again, as by entries to a new leader, or on its way as its cause was found.
    if ([request ?? '', ...crash.parts].some((subject) => this.isQuarantined(subject))) {
      if (address !== undefined) this.explain(this.log.record(address, crashedAt));
      return [];
    }
    const attempt = {
      startedAt: crashedAt - attemptMs,
      crashedAt,
      hadBegun,
      crash: address === undefined ? undefined : this.log.record(address, crashedAt),
    };
    const isRecent = now - crashedAt <= partMemoryMs;
    const parts = (isRecent ? crash.parts : []).filter((part) => {
      const suspicion = this.strike('part', part, request, attempt);
      suspicion.wasAnswered ||= answered.has(part);
      return suspicion.soleRequest === undefined && isGuiltyPart(suspicion);
    });
    // The part that is found explains the strikes against everything that came with it.
    if (parts.length > 0) {
      for (const part of parts) this.convict(part);
      this.suspicions.clear();
      return parts;
    }
    if (request === undefined) return [];
    const suspicion = this.strike('request', request, request, attempt);
    if (!this.isGuiltyRequest(suspicion)) return [];
    this.convict(request);
    this.dropExplained(suspicion);
    return [request];
  }

  /** Records whether a quarantine is in the log; if it is not, the next report leads to it again. */
  settle(subject: string, isQuarantined: boolean): void {
    const suspicion = this.convicted.get(subject);
    this.convicted.delete(subject);
    if (suspicion && !isQuarantined) this.suspicions.set(subject, suspicion);
  }

  private convict(subject: string): void {
    this.convicted.set(subject, this.suspicions.get(subject)!);
    this.suspicions.delete(subject);
  }

  /** Takes the crashes up to an answer off a request or part, which is sound by it. */
  acquit(subject: string, ageMs: Millis = 0): void {
    const at = this.clock.now() - ageMs;
    const last = Math.max(at, this.answeredAt.get(subject) ?? -Infinity);
    // The latest ones stand last.
    this.answeredAt.delete(subject);
    this.answeredAt.set(subject, last);
    if (this.answeredAt.size > maxAnswers) {
      this.answeredAt.delete(this.answeredAt.keys().next().value!);
    }
    this.takeOff(subject, (a) => a.crashedAt <= at);
  }

  private isGuiltyRequest(suspicion: Suspicion): boolean {
    const { attempts } = suspicion;
    if (attempts.length < crashesToQuarantine) return false;
    if (attempts.length >= uncertainCrashes || !attempts.some((a) => a.hadBegun)) return true;
    const crashes = crashesOf(suspicion);
    const isSpread = new Set(crashes.map((c) => c.address)).size >= crashesToQuarantine;
    const firstAt = Math.min(...crashes.map((c) => c.at));
    const others = this.log.since(firstAt).length - crashes.length;
    return isSpread && others < crashes.length && !this.hasRival(suspicion, crashes);
  }

  /** Whether another request was struck by all of these crashes, or all but one. */
  private hasRival(suspicion: Suspicion, crashes: readonly Crash[]): boolean {
    return [...this.suspicions.values()].some((other) => {
      if (other === suspicion || other.kind === 'part') return false;
      const shared = other.attempts.filter((a) => a.crash && crashes.includes(a.crash));
      return shared.length >= crashes.length - 1;
    });
  }

  /** Takes the crashes that a request has caused off the suspicions against other requests. */
  private dropExplained(guilty: Suspicion): void {
    for (const crash of crashesOf(guilty)) this.explain(crash);
  }

  /** Takes a crash whose cause is found off all requests that it struck. */
  private explain(crash: Crash): void {
    crash.isExplained = true;
    for (const [subject, { kind }] of this.suspicions) {
      if (kind === 'request') this.takeOff(subject, (a) => a.crash === crash);
    }
  }

  /** Takes some of the crashes off a suspicion, and ends it if none is left. */
  private takeOff(subject: string, isOff: (attempt: CrashedAttempt) => boolean): void {
    const { attempts } = this.suspicions.get(subject) ?? { attempts: [] };
    const left = attempts.filter((a) => !isOff(a));
    attempts.splice(0, attempts.length, ...left);
    if (left.length === 0) this.suspicions.delete(subject);
  }

  /**
   * Counts a crash if its attempt overlaps none that is counted. Attempts that were in progress at
   * once may have been cut by the same crash, or by a loss of several upstreams at the same time; and
   * a report may come twice, or after later ones.
   */
  private strike(
    kind: Suspicion['kind'],
    subject: string,
    request: string | undefined,
    attempt: CrashedAttempt,
  ): Suspicion {
    const suspicion = this.suspicions.get(subject) ?? {
      kind,
      attempts: [],
      wasAnswered: false,
      soleRequest: request,
    };
    if (this.isCleared(kind, subject, attempt)) return suspicion;
    this.suspicions.set(subject, suspicion);
    if (suspicion.attempts.some((other) => isSameCrash(attempt, other))) return suspicion;
    suspicion.attempts.push(attempt);
    if (suspicion.attempts.length > maxCrashes) suspicion.attempts.shift();
    if (suspicion.soleRequest !== request) suspicion.soleRequest = undefined;
    return suspicion;
  }

  private dropExcess(): void {
    let excess = this.suspicions.size - maxSuspicions;
    for (const [subject, suspicion] of this.suspicions) {
      if (excess <= 0) return;
      if (!isWeak(suspicion)) continue;
      this.suspicions.delete(subject);
      excess -= 1;
    }
  }

  /** Whether a crash does not count against a request or part, though it is told only now. */
  private isCleared(
    kind: Suspicion['kind'],
    subject: string,
    { crash, crashedAt }: CrashedAttempt,
  ): boolean {
    if (kind === 'request' && crash?.isExplained) return true;
    return crashedAt < (this.answeredAt.get(subject) ?? -Infinity);
  }

  private dropOutdated(now: Millis): void {
    if (now - this.droppedAt < dropIntervalMs) return;
    this.droppedAt = now;
    this.log.forget(now - crashMemoryMs);
    for (const [subject, { kind, attempts }] of this.suspicions) {
      const memoryMs = kind === 'part' ? partMemoryMs : crashMemoryMs;
      if (now - lastCrashOf(attempts) > memoryMs) this.suspicions.delete(subject);
    }
    this.dropExcess();
    for (const [subject, at] of this.answeredAt) {
      if (now - at > crashMemoryMs) this.answeredAt.delete(subject);
    }
  }
}

function isWeak({ kind, attempts }: Suspicion): boolean {
  return kind === 'request' && attempts.length === 1;
}

function isPublished({ kind, attempts }: Suspicion): boolean {
  return kind === 'part' || attempts.length >= crashesToPublishRequest;
}

function crashesOf({ attempts }: Suspicion): readonly Crash[] {
  return attempts.flatMap((a) => a.crash ?? []);
}

function isGuiltyPart({ attempts, wasAnswered }: Suspicion): boolean {
  if (!wasAnswered) return attempts.length >= crashesToQuarantine;
  const spanMs = lastCrashOf(attempts) - Math.min(...attempts.map((a) => a.crashedAt));
  return attempts.length >= knownPartCrashes && spanMs >= knownPartSpanMs;
}

function lastCrashOf(attempts: readonly CrashedAttempt[]): Millis {
  return Math.max(...attempts.map((a) => a.crashedAt));
}

function isSameCrash(a: CrashedAttempt, b: CrashedAttempt): boolean {
  return (a.crash !== undefined && a.crash === b.crash) || overlap(a, b);
}

function overlap(a: CrashedAttempt, b: CrashedAttempt): boolean {
  return a.startedAt + reportJitterMs < b.crashedAt && b.startedAt + reportJitterMs < a.crashedAt;
}
