/** Command line of the benches: `npm run bench -- NAME [--seed N] [--json]`. */

import type { Report } from './report.js';
import { formatTable } from './report.js';

/** A bench: a module that exports `run`. */
interface Bench {
  readonly run: (seed: number) => Promise<Report>;
}

const defaultSeed = 1;

/** Names of the benches. The module of the same name is loaded when a bench runs. */
const benches: readonly string[] = [
  'crest',
  'entries',
  'hol',
  'throughput',
  'limits',
  'log',
  'inforce',
  'control',
  'orders',
  'poison',
  'retries',
  'recovery',
  'relay',
  'capacity',
  'logging',
  'permits',
  'documents',
  'admission',
];

async function main(args: readonly string[]): Promise<number> {
  const names = args.filter((a) => benches.includes(a));
  if (names.length === 0) {
    process.stderr.write(
      `usage: npm run bench -- NAME [--seed N] [--json]; NAME is one of ${benches.join(', ')}\n`,
    );
    return 2;
  }
  const at = args.indexOf('--seed');
  const seed = at < 0 ? defaultSeed : Number(args[at + 1]);
  for (const name of names) {
    const bench = (await import(`./${name}.js`)) as Bench;
    const report = await bench.run(seed);
    process.stdout.write(
      args.includes('--json') ? `${JSON.stringify(report)}\n` : formatTable(report),
    );
  }
  return 0;
}

process.exitCode = await main(process.argv.slice(2));
