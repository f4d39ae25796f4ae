/** What upstreams hold that the release no longer offers, and whether work still uses it. */

import type { Clock, Millis } from '@tanagercart/base';
import type { SharedState } from '@tanagercart/state';
import type { StagePart } from './need.js';
import { includesPart, partsOf } from './part.js';
import type { Survey } from './survey.js';

/** Watches withdrawn parts until nothing can use them any more. */
export class WithdrawnParts {
  /** When each withdrawn part was first seen. */
  private readonly since = new Map<string, Millis>();

  private constructor(
    private readonly clock: Clock,
    private readonly longestLeaseMs: Millis,
  ) {}

  /** No entry takes new work under a release that was replaced `longestLeaseMs` ago. */
  static create(clock: Clock, longestLeaseMs: Millis): WithdrawnParts {
    return new WithdrawnParts(clock, longestLeaseMs);
  }

  /** Parts that upstreams hold in spite of the release. */
  observe(state: SharedState): readonly StagePart[] {
    const found = heldInSpite(state);
    const keys = new Set(found.map(keyOf));
    const now = this.clock.now();
    for (const key of this.since.keys()) if (!keys.has(key)) this.since.delete(key);
    for (const key of keys) if (!this.since.has(key)) this.since.set(key, now);
    return found;
  }

  /** Whether every entry said, after it could take no more such work, that it has none. */
  isUnused(need: StagePart, survey: Survey): boolean {
    const since = this.since.get(keyOf(need));
    if (since === undefined || !survey.complete) return false;
    if (survey.askedAt < since + this.longestLeaseMs) return false;
    const { model } = need.stage;
    const { kind, name } = need.part;
    return !survey.open.some(
      (w) => w.model === model && (kind === 'version' ? w.version : w.adapter) === name,
    );
  }
}

function heldInSpite(state: SharedState): readonly StagePart[] {
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
