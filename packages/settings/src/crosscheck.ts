/** Checks constraints between several keys of a settings file. */

import { formatValue } from './problem.js';
import type { Settings } from './schema.js';

/** A problem with one key; the caller adds the file name. */
export interface KeyProblem {
  readonly key: string;
  readonly message: string;
}

/** All violated constraints of `s`. */
export function crossCheck(s: Settings): readonly KeyProblem[] {
  return [
    ...unknownVoters(s),
    ...voterWithoutDisk(s),
    ...selfAmongPeers(s),
    ...duplicates(s),
    ...portOutOfRange(s),
    ...timingTooTight(s),
  ];
}

function unknownVoters(s: Settings): readonly KeyProblem[] {
  const known = [s.node.id, ...s.peers.map((p) => p.id)];
  const problems: KeyProblem[] = [];
  s.voters.forEach((v, i) => {
    if (!known.includes(v)) {
      problems.push(problem(`voters.${i}`, v, `node.id or the id of a peer`));
    }
    if (s.voters.indexOf(v) !== i) problems.push(problem(`voters.${i}`, v, 'each voter once'));
  });
  return problems;
}

function voterWithoutDisk(s: Settings): readonly KeyProblem[] {
  if (!s.voters.includes(s.node.id) || s.node.data !== undefined) return [];
  return [problem('node.data', undefined, 'a folder on a disk, as this node is a voter')];
}

/**
 * A node may be listed among its own peers, so that the settings of all nodes share one list. The
 * entry must then match the node's own keys.
 */
function selfAmongPeers(s: Settings): readonly KeyProblem[] {
  const at = s.peers.findIndex((p) => p.id === s.node.id);
  const listed = s.peers[at];
  if (!listed) return [];
  return (['dataCentre', 'peer', 'entry'] as const)
    .filter((k) => listed[k] !== s.node[k])
    .map((k) =>
      problem(`peers.${at}.${k}`, listed[k], `${formatValue(s.node[k])} as in node.${k}`),
    );
}

/** Reports ids and addresses that occur twice; port 0 stands for any free port and is exempt. */
function duplicates(s: Settings): readonly KeyProblem[] {
  const seen = new Map<string, string>();
  const problems: KeyProblem[] = [];
  const checkUnique = (key: string, value: string) => {
    const first = seen.get(value);
    if (first) problems.push(problem(key, value, `a value other than that of ${first}`));
    else seen.set(value, key);
  };
  for (const k of ['id', 'peer', 'entry', 'operator'] as const) {
    if (!s.node[k].endsWith(':0')) checkUnique(`node.${k}`, s.node[k]);
  }
  s.peers.forEach((p, i) => {
    if (s.peers.findIndex((q) => q.id === p.id) < i) {
      problems.push(problem(`peers.${i}.id`, p.id, 'each peer once'));
      return;
    }
    if (p.id === s.node.id) return;
    for (const k of ['id', 'peer', 'entry'] as const) {
      if (!p[k].endsWith(':0')) checkUnique(`peers.${i}.${k}`, p[k]);
    }
  });
  return problems;
}

function portOutOfRange(s: Settings): readonly KeyProblem[] {
  const addresses: (readonly [string, string | undefined])[] = [
    ['node.peer', s.node.peer],
    ['node.entry', s.node.entry],
    ['node.operator', s.node.operator],
    ['metrics.statsd', s.metrics.statsd],
    ...s.peers.flatMap((p, i) => [
      [`peers.${i}.peer`, p.peer] as const,
      [`peers.${i}.entry`, p.entry] as const,
    ]),
  ];
  return addresses
    .filter(([, a]) => a !== undefined && Number(a.slice(a.lastIndexOf(':') + 1)) > 65_535)
    .map(([key, a]) => problem(key, a, 'a port up to 65535'));
}

/** Reports timeouts that are too short for the interval of the messages that they wait for. */
function timingTooTight(s: Settings): readonly KeyProblem[] {
  const { heartbeatMs, electionMs, leaseMs, holdMs, silenceMs } = s.timing;
  const problems: KeyProblem[] = [];
  const atLeast = (key: string, found: number, least: number, rule: string) => {
    if (found < least) problems.push(problem(key, found, `at least ${least}, ${rule}`));
  };
  atLeast('timing.electionMs', electionMs, heartbeatMs * 3, 'three times timing.heartbeatMs');
  atLeast('timing.leaseMs', leaseMs, holdMs * 2, 'twice timing.holdMs');
  atLeast('timing.silenceMs', silenceMs, holdMs * 2, 'twice timing.holdMs');
  return problems;
}

function problem(key: string, found: unknown, expected: string): KeyProblem {
  return { key, message: `found ${formatValue(found)}; expected ${expected}` };
}
