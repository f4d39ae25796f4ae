/** The rates at which upstreams accept requests, as their responses to this entry name them. */

import type { Logger, RequestId, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { UpstreamResponse } from './upstream.js';

/** The limit that one incarnation of an upstream named last. */
interface NamedLimit {
  readonly born: number;
  /** Undefined where its last response named no limit. */
  readonly perSecond: number | undefined;
}

/** Keeps the last named limit of each upstream, and logs each change. */
export class NamedLimits {
  private readonly limits = new Map<UpstreamId, NamedLimit>();

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): NamedLimits {
    return new NamedLimits(logger);
  }

  /** Records what a response to a request says of the limit of its upstream. */
  record(request: RequestId, upstream: UpstreamRecord, response: UpstreamResponse): void {
    const { rateLimit, head } = response;
    const fields = { request, upstream: upstream.id, status: head.status };
    if (rateLimit.kind === 'malformed') {
      this.logger.warn('Upstream named a malformed limit.', { ...fields, text: rateLimit.text });
      return;
    }
    const perSecond = rateLimit.kind === 'limited' ? rateLimit.perSecond : undefined;
    const known = this.limits.get(upstream.id);
    const previous = known?.born === upstream.born ? known.perSecond : undefined;
    if (perSecond === previous) return;
    this.limits.set(upstream.id, { born: upstream.born, perSecond });
    const message =
      perSecond === undefined ? 'Upstream names no limit.' : 'Upstream named a limit.';
    this.logger.info(message, { ...fields, perSecond, previous });
  }
}
