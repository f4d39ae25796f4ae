/** How busy this process is: the share of time in which its event loop works, and its delays. */

import { performance } from 'node:perf_hooks';
import type { EventLoopUtilization } from 'node:perf_hooks';
import type { Clock, Millis, Repeat } from './clock.js';
import type { Logger } from './log.js';
import type { Metrics } from './metrics.js';

/** Interval at which the delay of the event loop is measured. */
const probeIntervalMs: Millis = 50;

/** Interval at which the measurements are published. */
const publishIntervalMs: Millis = 1000;

/** A delay from which on it is logged; heartbeats between nodes are sent more often than that. */
const loggedDelayMs: Millis = 150;

/** A suspension from this length on is logged. */
const loggedSuspensionMs: Millis = 100;

/** Returns the share of time, from 0 to 1, in which the event loop worked since the last call. */
export type UtilizationMeter = () => number;

/** Creates a meter of the event loop of this process. */
export function createUtilizationMeter(): UtilizationMeter {
  let last: EventLoopUtilization = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}

export interface LoadMonitorOptions {
  readonly clock: Clock;
  readonly repeat: Repeat;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly utilization: UtilizationMeter;
}

/**
 * Publishes the load of the process, and logs delays that are long enough to miss heartbeats, and
 * times that its clock counts as a suspension.
 */
export class LoadMonitor {
  private worstDelayMs: Millis = 0;
  private probeDueAt: Millis = 0;
  private publishAt: Millis = 0;
  /** Time that the clock has counted as suspensions. */
  private suspendedMs: Millis = 0;

  private constructor(private readonly o: LoadMonitorOptions) {}

  static create(options: LoadMonitorOptions): LoadMonitor {
    return new LoadMonitor(options);
  }

  /** Measures and publishes until `stop` is aborted. */
  run(stop: AbortSignal): Promise<void> {
    const { clock, repeat } = this.o;
    this.suspendedMs = clock.latest() - clock.now();
    this.probeDueAt = clock.now() + probeIntervalMs;
    this.publishAt = clock.now() + publishIntervalMs;
    const end = repeat(probeIntervalMs, () => this.probe());
    return new Promise((resolve) => {
      const finish = () => {
        end();
        resolve();
      };
      stop.addEventListener('abort', finish, { once: true });
      if (stop.aborted) finish();
    });
  }

  private probe(): void {
    const { clock } = this.o;
    const now = clock.now();
    this.worstDelayMs = Math.max(this.worstDelayMs, now - this.probeDueAt);
    this.probeDueAt = now + probeIntervalMs;
    this.logSuspension(clock.latest() - now);
    if (now < this.publishAt) return;
    this.publish();
    this.publishAt = now + publishIntervalMs;
  }

  private logSuspension(suspendedMs: Millis): void {
    const byMs = Math.round(suspendedMs - this.suspendedMs);
    if (byMs < loggedSuspensionMs) return;
    this.suspendedMs = suspendedMs;
    this.o.logger.warn('The wall clock stepped forward, or the machine was suspended.', { byMs });
  }

  private publish(): void {
    const { logger, metrics } = this.o;
    const busy = this.o.utilization();
    const delayMs = Math.round(this.worstDelayMs);
    this.worstDelayMs = 0;
    metrics.gauge('process.busy', busy);
    metrics.gauge('process.delay-ms', delayMs);
    if (delayMs < loggedDelayMs) return;
    logger.warn('The process was held up.', { delayMs, busy: Number(busy.toFixed(2)) });
  }
}
