/**
 * Bench `retries`: half of the replicas fail at once. Measures the retries that entry nodes send
 * within their retry budget, and how many requests are completed or refused.
 */

import { SeededRandom } from '@tanagercart/base';
import { DispatchFleet, generationRequest } from './dispatchfleet.js';
import type { Report } from './report.js';

const nodes = 8;
const replicas = 40;
const requestsPerSecond = 80;

/** Time with load before half of the replicas fail, in milliseconds. */
const warmUpMs = 20_000;

/** Time until the owner detects the failures, in milliseconds. */
const detectionMs = 3000;

/** Time that is measured after the failure, in milliseconds. */
const afterMs = 10_000;

/** Target: limit on retries as a fraction of the requests. */
const shareLimit = 0.1;

/** Measures one failure of half of the replicas. */
export async function run(seed: number): Promise<Report> {
  const fleet = DispatchFleet.create({ seed, nodes, replicas, slots: 8, crashes: () => false });
  const random = SeededRandom.create(seed);
  const tally = { sent: 0, answered: 0, notRun: 0 };
  await sendLoad(fleet, random, warmUpMs, tally);
  const retriesBefore = fleet.metrics.read('retry');
  const resumedBefore = fleet.metrics.read('resume');
  const failedBefore = fleet.metrics.read('retry.cause');
  const after = { sent: 0, answered: 0, notRun: 0 };
  for (let i = 0; i < replicas / 2; i += 1) fleet.dead.add(`r${i}`);
  await sendLoad(fleet, random, detectionMs, after);
  for (const replica of fleet.dead) fleet.ungranted.add(replica);
  await sendLoad(fleet, random, afterMs - detectionMs, after);
  await fleet.clock.advance(60_000);
  const retries = fleet.metrics.read('retry') - retriesBefore;
  const failures = fleet.metrics.read('retry.cause') - failedBefore;
  const resumes = fleet.metrics.read('resume') - resumedBefore;
  const share = (n: number) => n / after.sent;
  return {
    bench: 'retries',
    seed,
    figures: [
      { name: 'requests after the failure', value: after.sent, unit: '' },
      { name: 'failed attempts', value: share(failures), unit: 'of requests' },
      {
        name: 'retries',
        value: share(retries),
        unit: 'of requests',
        target: { kind: 'at-most', value: shareLimit },
      },
      { name: 'interrupted streams resumed', value: share(resumes), unit: 'of requests' },
      { name: 'answered whole', value: share(after.answered), unit: 'of requests' },
      { name: 'refused not-run', value: share(after.notRun), unit: 'of requests' },
    ],
  };
}

/** Sends requests to random nodes for `ms` milliseconds and counts their results in `tally`. */
async function sendLoad(
  fleet: DispatchFleet,
  random: SeededRandom,
  ms: number,
  tally: { sent: number; answered: number; notRun: number },
): Promise<void> {
  const end = fleet.clock.now() + ms;
  while (fleet.clock.now() < end) {
    const g = generationRequest(`q${fleet.clock.now()}-${tally.sent}`);
    tally.sent += 1;
    void fleet.send(Math.floor(random.next() * nodes), g).then((last) => {
      if (last?.kind === 'end') tally.answered += 1;
      if (last?.kind === 'refused' && last.refusal.run === 'not-run') tally.notRun += 1;
    });
    await fleet.clock.advance((1000 / requestsPerSecond) * 2 * random.next());
  }
}
