import { ok } from 'neverthrow';
import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Attempt, Call, ProbeResult, UpstreamClient } from '../src/index.js';
import { events, responseOf } from './fixtures.js';

/** Time after which a probe without an answer is given up. */
const probeTimeoutMs: Millis = 500;

/** Interval at which an upstream makes events. */
const eventIntervalMs: Millis = 50;

/** A time in which an upstream neither sends nor answers anything, and after which it goes on. */
export interface Pause {
  readonly fromMs: Millis;
  readonly toMs: Millis;
}

/** Sound upstreams that stream events, and may pause. */
export class PausingUpstreams implements UpstreamClient {
  readonly sent: Attempt[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly eventCount: number,
    private readonly pauses: ReadonlyMap<string, readonly Pause[]>,
  ) {}

  async send(_: Call, attempt: Attempt, stop: AbortSignal): ReturnType<UpstreamClient['send']> {
    this.sent.push(attempt);
    const { id } = attempt.upstream;
    await this.settle(id, stop);
    const next = (attempt.lastEvent ?? -1) + 1;
    return ok({ ...responseOf(200, []), body: this.body(id, next, stop) });
  }

  async probe(_: Call, { id }: UpstreamRecord): Promise<ProbeResult> {
    const giveUp = new AbortController();
    const timeout = this.clock.sleep(probeTimeoutMs, giveUp.signal).then(() => 'timeout' as const);
    const first = await Promise.race([this.settle(id, giveUp.signal), timeout]);
    giveUp.abort();
    return first === 'timeout'
      ? { kind: 'silent', detail: 'no answer in time' }
      : { kind: 'waiting' };
  }

  private async *body(id: UpstreamId, first: number, stop: AbortSignal) {
    for (let event = first; event < this.eventCount; event += 1) {
      await this.clock.sleep(eventIntervalMs, stop);
      await this.settle(id, stop);
      if (stop.aborted) throw new Error('cancelled');
      yield Buffer.from(events(event, event));
    }
  }

  /** Waits until the upstream is not paused. */
  private async settle(id: string, stop: AbortSignal): Promise<void> {
    const now = this.clock.now();
    const pause = this.pauses.get(id)?.find((p) => p.fromMs <= now && now < p.toMs);
    if (pause) await this.clock.sleep(pause.toMs - now, stop);
  }
}
