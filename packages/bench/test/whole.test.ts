import { test } from 'node:test';
import fc from 'fast-check';
import { runWhole, wholeSchedules } from '../src/wholeschedule.js';

test('the whole path keeps its invariants under random faults', async () => {
  const property = fc.asyncProperty(wholeSchedules, async (s) => {
    await runWhole(s);
  });
  await fc.assert(property, { seed: 5, numRuns: 12 });
});
