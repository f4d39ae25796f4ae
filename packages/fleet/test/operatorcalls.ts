import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { httpMs, sendHeartbeats, voters } from './hundreds.js';

/** Operators turn to another voter after this time without a response. */
export const patienceMs: Millis = 1000;

/** Time to check a document on the smallest machines of today. */
const checkMs: Millis = 30;

/** The first pause of an operator between two calls, and its bound. */
const firstPauseMs: Millis = 100;
const maxPauseMs: Millis = 2000;

/** A call of an operator at one voter, as over HTTP; resolves to whether it is answered. */
export type OperatorCall = (fleet: Fleet, to: NodeId) => Promise<boolean>;

export function submissionOf(version: number): OperatorCall {
  return async (fleet, to) => {
    await fleet.processors.get(to)?.work(httpMs + checkMs);
    return (await fleet.nodes.get(to)!.submit(documentOf(version))).isOk();
  };
}

export const read: OperatorCall = async (fleet, to) => {
  await fleet.processors.get(to)?.work(httpMs);
  return (await fleet.nodes.get(to)!.readDocument()).isOk();
};

/** Calls one voter after the other until one answers in time; resolves to the time that took. */
async function callUntilAnswered(fleet: Fleet, call: OperatorCall): Promise<Millis> {
  const { clock, random } = fleet;
  const startedAt = clock.now();
  let pauseMs = firstPauseMs;
  for (;;) {
    const to = NodeId(voters[Math.floor(random.next() * voters.length)]!);
    const isAnswered = await Promise.race([
      call(fleet, to),
      clock.sleep(patienceMs).then(() => false),
    ]);
    if (isAnswered) return clock.now() - startedAt;
    await clock.sleep(pauseMs);
    pauseMs = Math.min(maxPauseMs, pauseMs * 2);
  }
}

/** The times to the answers of a call a second, while `disturb` is called. */
export async function answerTimes(
  seed: number,
  callAt: (step: number) => OperatorCall,
  disturb: (fleet: Fleet, step: number) => void,
): Promise<readonly Millis[]> {
  const costs = { watch: 2.5, beat: 2.5, record: 0.05 };
  const fleet = await Fleet.start(seed, voters, costs, httpMs);
  const { clock } = fleet;
  startEntries(fleet, 191);
  void sendHeartbeats(fleet, 40_000);
  void callUntilAnswered(fleet, submissionOf(7));
  await clock.advance(15_000);
  const times: Millis[] = [];
  for (let step = 0; step < 160; step += 1) {
    if (step % 20 === 0) {
      const i = times.push(Infinity) - 1;
      void callUntilAnswered(fleet, callAt(step)).then((ms) => {
        times[i] = ms;
      });
    }
    disturb(fleet, step);
    await clock.advance(50);
  }
  await clock.advance(12_000);
  return times;
}

/** Holds the leader up for nine tenths of the time. */
export function holdLeaderUp(fleet: Fleet, step: number): void {
  const [leader] = [...fleet.nodes].find(([, node]) => node === fleet.leader) ?? [];
  if (leader !== undefined && step % 10 === 0) void fleet.processors.get(leader)!.work(450);
}
