/** Measures the time from the submission of a release note until it is in force on all nodes. */

import { startCluster, submitAndWait } from './cluster.js';
import type { Cluster, Member } from './cluster.js';
import { note } from './notes.js';
import type { Figure, Report } from './report.js';

/** Numbers of nodes of the measured clusters. */
const clusterSizes = [8, 32, 128];

/** Release notes per measurement; the slowest counts. */
const rounds = 5;

/** The target of the plan, in milliseconds. */
const target = { kind: 'at-most', value: 6000 } as const;

type Fault = 'no fault' | 'a voter silent' | 'a relay dead';

/** Runs the measurement. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const size of clusterSizes) {
    for (const fault of ['no fault', 'a voter silent', 'a relay dead'] as const) {
      const worst = await worstTime(size, fault, seed);
      const name = `${size} nodes, ${fault}: submit to in force, worst of ${rounds}`;
      figures.push({ name, value: worst, unit: 'ms', target });
    }
  }
  return { bench: 'inforce', seed, figures };
}

async function worstTime(size: number, fault: Fault, seed: number): Promise<number> {
  let worst = 0;
  for (let round = 0; round < rounds; round += 1) {
    const c = await startCluster(size, seed + round);
    // Each round starts at a different phase of the nodes' periodic calls.
    await c.clock.advance(37 * round);
    injectFault(c, fault);
    const submitter =
      c.members.find((m) => !m.isVoter && isAttached(c, m) && !isRelay(c, m)) ?? c.members[0]!;
    worst = Math.max(worst, await submitAndWait(c, submitter, note(1)));
    await c.stop();
  }
  return worst;
}

function injectFault(c: Cluster, fault: Fault): void {
  if (fault === 'a voter silent') {
    const voter = c.members.find((m) => m.isVoter && m !== c.leader())!;
    for (const other of c.members) {
      c.net.cut(voter.id, other.id);
      c.net.cut(other.id, voter.id);
    }
  }
  if (fault === 'a relay dead') {
    const relays = c.members.filter((m) => isRelay(c, m) && m !== c.leader());
    const relay = relays.find((m) => !m.isVoter) ?? relays[0]!;
    c.net.detach(relay.id);
  }
}

function isRelay(c: Cluster, member: Member): boolean {
  return c.members.some((m) => m.control.position.path.at(-1) === member.id);
}

function isAttached(c: Cluster, member: Member): boolean {
  return c.net.transportOf(member.id) !== undefined;
}
