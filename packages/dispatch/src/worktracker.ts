/** Demand of this entry's requests for models, reported to the node that plans the placement. */

import type { Clock, Millis } from '@tanagercart/base';
import type { WorkItem, WorkReply } from '@tanagercart/protocol';
import type { GenerationRequest } from './generation.js';

/** Time for which a refused request counts as demand, in milliseconds. */
const unservedMs: Millis = 30_000;

/** Bounds the memory for unserved items. The oldest one is dropped first. */
const maxUnserved = 256;

interface Unserved {
  readonly item: WorkItem;
  readonly until: Millis;
}

/** Tracks the requests in progress, and those that were refused as no replica holds their model. */
export class WorkTracker {
  private readonly open = new Set<GenerationRequest>();
  private readonly unserved = new Map<string, Unserved>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkTracker {
    return new WorkTracker(clock);
  }

  begin(request: GenerationRequest): void {
    this.open.add(request);
  }

  end(request: GenerationRequest): void {
    this.open.delete(request);
  }

  /** Records that no replica holds the model, version or adapter of a request. */
  recordUnserved(request: GenerationRequest): void {
    const key = keyOf(request);
    const now = this.clock.now();
    const previous = this.unserved.get(key);
    const previousUrgency = previous && previous.until > now ? previous.item.urgency : Infinity;
    const item = { ...itemOf(request), urgency: Math.min(previousUrgency, request.tier.urgency) };
    this.unserved.delete(key);
    this.unserved.set(key, { item, until: now + unservedMs });
    const oldest = this.unserved.keys().next().value;
    if (this.unserved.size > maxUnserved && oldest !== undefined) this.unserved.delete(oldest);
  }

  /** Reply to the placement holder: each item once, with its most urgent tier. */
  reply(): WorkReply {
    const now = this.clock.now();
    const open = new Map<string, WorkItem>();
    for (const request of this.open) {
      const known = open.get(keyOf(request));
      if (!known || known.urgency > request.tier.urgency) open.set(keyOf(request), itemOf(request));
    }
    const recent = [...this.unserved.values()].filter((u) => u.until > now);
    return { open: [...open.values()], unserved: recent.map((u) => u.item) };
  }
}

function itemOf(request: GenerationRequest): WorkItem {
  const { model, version, adapter, tier } = request;
  return { model: model.id, version, adapter, urgency: tier.urgency };
}

function keyOf({ model, version, adapter }: GenerationRequest): string {
  return JSON.stringify([model.id, version, adapter ?? null]);
}
