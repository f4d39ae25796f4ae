/**
 * Runs random schedules of faults: `npm run soak -- [--whole | --programs] [--seed N] [--runs M]`.
 * Those of the bundled programs are the platform's: this module only starts them.
 */

import fc from 'fast-check';
import { runSchedule, schedules } from './logschedule.js';
import { runWhole, wholeSchedules } from './wholeschedule.js';

const defaultRuns = 1000;

function option(args: readonly string[], name: string, otherwise: number): number {
  const at = args.indexOf(name);
  return at < 0 ? otherwise : Number(args[at + 1]);
}

interface ProgramSoak {
  readonly soakPrograms: (args: readonly string[]) => Promise<boolean>;
}

async function main(args: readonly string[]): Promise<number> {
  if (args.includes('--programs')) {
    const module = new URL('../../../../platform/dist/test/soak/main.js', import.meta.url);
    const { soakPrograms } = (await import(module.href)) as ProgramSoak;
    return (await soakPrograms(args)) ? 0 : 1;
  }
  const seed = option(args, '--seed', 1);
  const numRuns = option(args, '--runs', defaultRuns);
  return args.includes('--whole') ? soakWhole(seed, numRuns) : soakLog(seed, numRuns);
}

async function soakLog(seed: number, numRuns: number): Promise<number> {
  const total = { acknowledged: 0, lostDisks: 0, changes: 0 };
  const property = fc.asyncProperty(schedules, async (schedule) => {
    const outcome = await runSchedule(schedule);
    total.acknowledged += outcome.acknowledged;
    total.lostDisks += outcome.lostDisks;
    total.changes += outcome.changes;
  });
  const result = await fc.check(property, { seed, numRuns });
  process.stdout.write(
    `log: seed ${seed}, ${result.numRuns} of ${numRuns} schedules, ${total.acknowledged} commands ` +
      `acknowledged, ${total.lostDisks} disks lost, ${total.changes} changes of voters: ` +
      `${result.failed ? 'FAILED' : 'no failure'}\n`,
  );
  return report(result);
}

async function soakWhole(seed: number, numRuns: number): Promise<number> {
  const total = { answers: 0, orders: 0, notes: 0, mostRunning: 0 };
  const property = fc.asyncProperty(wholeSchedules, async (schedule) => {
    const outcome = await runWhole(schedule);
    total.answers += outcome.answers;
    total.orders += outcome.orders;
    total.notes += outcome.notes;
    total.mostRunning = Math.max(total.mostRunning, outcome.mostRunning);
  });
  const result = await fc.check(property, { seed, numRuns });
  process.stdout.write(
    `whole: seed ${seed}, ${result.numRuns} of ${numRuns} schedules, ${total.answers} answers, ` +
      `${total.orders} orders, ${total.notes} notes, ${total.mostRunning} sequences on one stage at most: ${result.failed ? 'FAILED' : 'no failure'}\n`,
  );
  return report(result);
}

function report<T>(result: fc.RunDetails<T>): number {
  if (!result.failed) return 0;
  const error = result.errorInstance as Error | undefined;
  process.stdout.write(`${error?.stack ?? ''}\n${JSON.stringify(result.counterexample)}\n`);
  return 1;
}

process.exitCode = await main(process.argv.slice(2));
