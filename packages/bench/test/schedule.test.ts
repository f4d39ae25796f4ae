import { test } from 'node:test';
import fc from 'fast-check';
import { runSchedule, schedules } from '../src/logschedule.js';

for (const seed of [1, 2]) {
  test(`the log keeps its invariants under random faults, seed ${seed}`, async () => {
    const property = fc.asyncProperty(schedules, async (schedule) => {
      await runSchedule(schedule);
    });
    await fc.assert(property, { seed, numRuns: 100 });
  });
}
