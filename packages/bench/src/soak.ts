/**
 * Runs random schedules of faults: `npm run soak -- [--whole | --programs] [--seed N] [--runs M]`.
 * By default, a schedule runs against the replicated log. `--whole` simulates a deployment, and
 * `--programs` starts the soak of the bundled programs, which the platform's tests contain.
 */

import fc from 'fast-check';
import { runSchedule, schedules } from './logschedule.js';
import { runSimulation, simulationSchedules } from './simulationschedule.js';

const defaultRuns = 1000;

function option(args: readonly string[], name: string, fallback: number): number {
  const at = args.indexOf(name);
  return at < 0 ? fallback : Number(args[at + 1]);
}

/** The platform's soak, which is imported only when needed. */
interface ProgramSoakModule {
  readonly soakPrograms: (args: readonly string[]) => Promise<boolean>;
}

async function main(args: readonly string[]): Promise<number> {
  if (args.includes('--programs')) {
    const module = new URL('../../../../platform/dist/test/soak/main.js', import.meta.url);
    const { soakPrograms } = (await import(module.href)) as ProgramSoakModule;
    return (await soakPrograms(args)) ? 0 : 1;
  }
  const seed = option(args, '--seed', 1);
  const numRuns = option(args, '--runs', defaultRuns);
  return args.includes('--whole') ? soakSimulation(seed, numRuns) : soakLog(seed, numRuns);
}

async function soakLog(seed: number, numRuns: number): Promise<number> {
  const totals = { acknowledged: 0, lostDisks: 0, changes: 0 };
  const property = fc.asyncProperty(schedules, async (schedule) => {
    const outcome = await runSchedule(schedule);
    totals.acknowledged += outcome.acknowledged;
    totals.lostDisks += outcome.lostDisks;
    totals.changes += outcome.changes;
  });
  const result = await fc.check(property, { seed, numRuns });
  process.stdout.write(
    `log: seed ${seed}, ${result.numRuns} of ${numRuns} schedules, ${totals.acknowledged} commands ` +
      `acknowledged, ${totals.lostDisks} disks lost, ${totals.changes} changes of voters: ` +
      `${result.failed ? 'FAILED' : 'no failure'}\n`,
  );
  return report(result);
}

async function soakSimulation(seed: number, numRuns: number): Promise<number> {
  const totals = { answers: 0, orders: 0, notes: 0, peakRunning: 0 };
  const property = fc.asyncProperty(simulationSchedules, async (schedule) => {
    const outcome = await runSimulation(schedule);
    totals.answers += outcome.answers;
    totals.orders += outcome.orders;
    totals.notes += outcome.notes;
    totals.peakRunning = Math.max(totals.peakRunning, outcome.peakRunning);
  });
  const result = await fc.check(property, { seed, numRuns });
  process.stdout.write(
    `whole: seed ${seed}, ${result.numRuns} of ${numRuns} schedules, ${totals.answers} answers, ` +
      `${totals.orders} orders, ${totals.notes} notes, ${totals.peakRunning} sequences on one stage at most: ${result.failed ? 'FAILED' : 'no failure'}\n`,
  );
  return report(result);
}

/** Prints the error and counterexample of a failed check, and returns the exit code. */
function report<T>(result: fc.RunDetails<T>): number {
  if (!result.failed) return 0;
  const error = result.errorInstance as Error | undefined;
  process.stdout.write(`${error?.stack ?? ''}\n${JSON.stringify(result.counterexample)}\n`);
  return 1;
}

process.exitCode = await main(process.argv.slice(2));
