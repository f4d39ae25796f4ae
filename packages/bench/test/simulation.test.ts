import { test } from 'node:test';
import fc from 'fast-check';
import { runSimulation, simulationSchedules } from '../src/simulationschedule.js';

test('a simulated deployment keeps its invariants under random faults', async () => {
  const property = fc.asyncProperty(simulationSchedules, async (schedule) => {
    await runSimulation(schedule);
  });
  await fc.assert(property, { seed: 5, numRuns: 12 });
});
