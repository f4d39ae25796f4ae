/** A weight store that serves so many loads at full rate. */

import type { Clock, Millis } from '@tanagercart/base';

/** Shared by the stand-ins that load from it. */
export class FakeWeightStore {
  private currentLoads = 0;
  /** Loads that ran at once at most. */
  peakLoads = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly loadMs: Millis,
    private readonly fullRateLoads: number,
  ) {}

  static create(clock: Clock, loadMs: Millis, atOnce: number): FakeWeightStore {
    return new FakeWeightStore(clock, loadMs, atOnce);
  }

  /** Loads one part; takes longer the more loads exceed the rate when it begins. */
  async load(): Promise<void> {
    this.currentLoads += 1;
    this.peakLoads = Math.max(this.peakLoads, this.currentLoads);
    await this.clock.sleep(this.loadMs * Math.max(1, this.currentLoads / this.fullRateLoads));
    this.currentLoads -= 1;
  }
}
