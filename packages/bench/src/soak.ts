/** Runs random schedules of faults: `npm run soak -- [--seed N] [--runs M]`. */

import fc from 'fast-check';
import { runSchedule, schedules } from './logschedule.js';

const defaultRuns = 1000;

function option(args: readonly string[], name: string, otherwise: number): number {
  const at = args.indexOf(name);
  return at < 0 ? otherwise : Number(args[at + 1]);
}

async function main(args: readonly string[]): Promise<number> {
  const seed = option(args, '--seed', 1);
  const numRuns = option(args, '--runs', defaultRuns);
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
  if (!result.failed) return 0;
  const error = result.errorInstance as Error | undefined;
  process.stdout.write(`${error?.stack ?? ''}\n${JSON.stringify(result.counterexample)}\n`);
  return 1;
}

process.exitCode = await main(process.argv.slice(2));
