/** Measures the slopes from which docs/CAPACITY.md derives the resources for the planned size. */

import { controlSeries } from './capacitycontrol.js';
import { heapSeries } from './capacityheap.js';
import { logSeries } from './capacitylog.js';
import { timeSeries } from './capacitytime.js';
import { figuresOf } from './line.js';
import { memoryUsage } from './meter.js';
import type { Figure, Report } from './report.js';

/** Runs the measurement. */
export async function run(seed: number): Promise<Report> {
  const base = memoryUsage();
  const figures: Figure[] = [
    { name: 'process with all modules loaded: resident', value: base.resident, unit: 'MB' },
    { name: 'process with all modules loaded: heap', value: base.heap, unit: 'MB' },
  ];
  const series = [
    ...(await heapSeries(seed)),
    ...(await timeSeries(seed)),
    ...(await logSeries()),
    ...(await controlSeries(seed)),
  ];
  return { bench: 'capacity', seed, figures: [...figures, ...series.flatMap(figuresOf)] };
}
