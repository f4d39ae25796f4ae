/** The upstreams that one request is not sent to again, and those that it avoids. */

import type { UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';

/** What is known of upstreams from the attempts of one request, by incarnation. */
export class Exclusions {
  private readonly failed = new Map<UpstreamId, number>();
  private readonly silent = new Map<UpstreamId, number>();
  private readonly crossed = new Set<UpstreamId>();
  /** The upstream at which the last attempt failed that crossed the end of an idle connection. */
  lastCrossed: UpstreamId | undefined;

  static create(): Exclusions {
    return new Exclusions();
  }

  /** Records that an attempt has failed because of an upstream, which says nothing of a later one. */
  recordFailure({ id, born }: UpstreamRecord): void {
    this.failed.set(id, born);
    this.lastCrossed = undefined;
  }

  /** Records that the request may have crossed the end of an idle connection of an upstream. */
  recordCrossing({ id }: UpstreamRecord): void {
    this.crossed.add(id);
    this.lastCrossed = id;
  }

  /** Whether the request has met the end of an idle connection of the upstream. */
  hasCrossed({ id }: UpstreamRecord): boolean {
    return this.crossed.has(id);
  }

  /** Records that an upstream was silent, which a sound one may be for a while. */
  recordSilence({ id, born }: UpstreamRecord): void {
    this.silent.set(id, born);
  }

  /** Records that an upstream that was silent goes on. */
  recordReturn({ id }: UpstreamRecord): void {
    this.silent.delete(id);
  }

  /** Whether the request is not sent to the upstream again. */
  isExcluded({ id, born }: UpstreamRecord): boolean {
    return this.failed.get(id) === born;
  }

  /** Whether the request is sent to the upstream only where no other is left. */
  isAvoided({ id, born }: UpstreamRecord): boolean {
    return this.silent.get(id) === born;
  }
}
