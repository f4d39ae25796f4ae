/**
 * Tracks the parts that upstreams hold although the release no longer offers them, until they can
 * be unloaded. Protects requests in progress that still use a withdrawn part.
 */

import type { Clock, Millis } from '@tanagercart/base';
import type { SharedState } from '@tanagercart/state';
import type { StagePart } from './missingparts.js';
import { includesPart, partsOf } from './part.js';
import type { Survey } from './survey.js';

/** Tracks withdrawn parts and decides when no request can use them any more. */
export class WithdrawnParts {
  /** Time at which each withdrawn part was first observed. */
  private readonly since = new Map<string, Millis>();

  private constructor(
    private readonly clock: Clock,
    private readonly longestLeaseMs: Millis,
  ) {}

  /** Entries stop taking requests for a withdrawn part within `longestLeaseMs`. */
  static create(clock: Clock, longestLeaseMs: Millis): WithdrawnParts {
    return new WithdrawnParts(clock, longestLeaseMs);
  }

  /** Returns the withdrawn parts that upstreams hold now, and records when each first appeared. */
  observe(state: SharedState): readonly StagePart[] {
    const found = findWithdrawnParts(state);
    const keys = new Set(found.map(keyOf));
    const now = this.clock.now();
    for (const key of this.since.keys()) if (!keys.has(key)) this.since.delete(key);
    for (const key of keys) if (!this.since.has(key)) this.since.set(key, now);
    return found;
  }

  /**
   * Whether every entry has reported that no request uses the part, at a time when it could take no
   * new request for the part.
   */
  isUnused(stagePart: StagePart, survey: Survey): boolean {
    const firstSeenAt = this.since.get(keyOf(stagePart));
    if (firstSeenAt === undefined || !survey.complete) return false;
    if (survey.askedAt < firstSeenAt + this.longestLeaseMs) return false;
    const { model } = stagePart.stage;
    const { kind, name } = stagePart.part;
    return !survey.open.some(
      (w) => w.model === model && (kind === 'version' ? w.version : w.adapter) === name,
    );
  }
}

function findWithdrawnParts(state: SharedState): readonly StagePart[] {
  const found: StagePart[] = [];
  for (const upstream of state.upstreams.values()) {
    if (upstream.role.kind !== 'stage') continue;
    const { stage } = upstream.role;
    const model = state.release.models.get(stage.model);
    for (const part of partsOf(stage)) {
      if (!model || !includesPart(model, part)) found.push({ upstream, stage, part });
    }
  }
  return found;
}

function keyOf({ stage, part }: StagePart): string {
  return `${stage.model}|${part.kind}|${part.name}`;
}
