/** What this node knows of the limits that upstreams name, from responses and from other nodes. */

import type { Clock, Logger, LogFields, Millis, UpstreamId } from '@tanagercart/base';
import type { LimitNotice, UpstreamIncarnation } from '@tanagercart/protocol';

/** A limit that nothing has confirmed for this long has lapsed. */
const maxAgeMs: Millis = 60_000;

/** The end of a limit is passed on for this long, so that all have heard of it. */
const endedMs: Millis = 10_000;

/** A limit that changes by a smaller share than this is not logged again. */
const loggedChange = 0.1;

/** The newest that is known of one upstream. */
interface KnownLimit {
  readonly born: number;
  readonly perSecond: number | undefined;
  /** Time at which the upstream said so. */
  readonly at: Millis;
  /** The limit that was logged last. */
  readonly logged: number | undefined;
}

/** Keeps the newest notice of each upstream that has named a limit, and logs each change. */
export class NamedLimits {
  private readonly known = new Map<UpstreamId, KnownLimit>();

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  static create(clock: Clock, logger: Logger): NamedLimits {
    return new NamedLimits(clock, logger);
  }

  /** Requests per second that an upstream accepts; undefined where no limit is known. */
  perSecondOf(upstream: UpstreamIncarnation): number | undefined {
    return this.limitOf(upstream)?.perSecond;
  }

  /** All limits, and those that ended lately, for other nodes. */
  get notices(): readonly LimitNotice[] {
    const now = this.clock.now();
    return [...this.known].flatMap(([upstream, { born, perSecond, at }]) => {
      const ageMs = now - at;
      const isNews = ageMs < (perSecond === undefined ? endedMs : maxAgeMs);
      return isNews ? [{ upstream, born, perSecond, ageMs }] : [];
    });
  }

  /** What this node knows of the limit of an upstream, for another node. */
  noticeOf(upstream: UpstreamIncarnation): LimitNotice {
    const limit = this.limitOf(upstream);
    return {
      upstream: upstream.id,
      born: upstream.born,
      perSecond: limit?.perSecond,
      ageMs: limit ? this.clock.now() - limit.at : maxAgeMs,
    };
  }

  /**
   * Records a notice unless a newer one is known; `source` is logged with the change. Returns
   * whether a limit has begun or ended.
   */
  record({ upstream, born, perSecond, ageMs }: LimitNotice, source: LogFields): boolean {
    const at = this.clock.now() - ageMs;
    const known = this.known.get(upstream);
    // An upstream that never named a limit takes no memory.
    if (!known && perSecond === undefined) return false;
    if (ageMs >= maxAgeMs || (known && isNewer(known, born, at))) return false;
    if (!known) this.dropLapsed();
    const before = known?.born === born ? known : undefined;
    const previous = before?.logged;
    const isLogged = isChanged(previous, perSecond);
    const logged = isLogged ? perSecond : previous;
    this.known.set(upstream, { born, perSecond, at, logged });
    if (isLogged) {
      const named = perSecond !== undefined;
      const message = named ? 'Upstream named a limit.' : 'Upstream names no limit.';
      this.logger.info(message, { ...source, upstream, perSecond, previous, ageMs });
    }
    return (before?.perSecond === undefined) !== (perSecond === undefined);
  }

  private limitOf({ id, born }: UpstreamIncarnation): KnownLimit | undefined {
    const limit = this.known.get(id);
    if (limit?.born !== born || this.clock.now() - limit.at >= maxAgeMs) return undefined;
    return limit;
  }

  private dropLapsed(): void {
    const now = this.clock.now();
    for (const [id, { at }] of this.known) if (now - at >= maxAgeMs) this.known.delete(id);
  }
}

/** Whether what is known is newer than a notice of the incarnation `born` at the time `at`. */
function isNewer(known: KnownLimit, born: number, at: Millis): boolean {
  return known.born === born ? known.at > at : known.born > born;
}

/** Whether a limit has begun, ended or changed so much that it is worth a line. */
function isChanged(previous: number | undefined, perSecond: number | undefined): boolean {
  if (previous === undefined || perSecond === undefined) return previous !== perSecond;
  return Math.abs(perSecond - previous) > previous * loggedChange;
}
