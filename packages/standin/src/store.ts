/** A stand-in for a weight store with limited bandwidth. */

import type { Clock, Millis } from '@tanagercart/base';

/**
 * The store from which stand-in stages load weights. It serves `fullRateLoads` loads at once in
 * `loadMs` each; further loads share its bandwidth and take longer.
 */
export class FakeWeightStore {
  private currentLoads = 0;
  /** Largest number of loads that ran at once. */
  peakLoads = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly loadMs: Millis,
    private readonly fullRateLoads: number,
  ) {}

  static create(clock: Clock, loadMs: Millis, atOnce: number): FakeWeightStore {
    return new FakeWeightStore(clock, loadMs, atOnce);
  }

  /**
   * Loads one part of a model. The number of loads that are in progress at the start determines
   * how long it takes.
   */
  async load(): Promise<void> {
    this.currentLoads += 1;
    this.peakLoads = Math.max(this.peakLoads, this.currentLoads);
    await this.clock.sleep(this.loadMs * Math.max(1, this.currentLoads / this.fullRateLoads));
    this.currentLoads -= 1;
  }
}
