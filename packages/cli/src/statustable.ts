/** The state of the system as tables for people. */

/** Voters and learners of the log. */
interface VoterSet {
  readonly voters: readonly { readonly id: string }[];
  readonly learners: readonly { readonly id: string }[];
}

/** The parts of a status that the tables show. */
export interface Status {
  readonly node: string;
  readonly release: number;
  readonly leader?: string;
  /** As the log knows them on a voter; elsewhere the names in the settings. */
  readonly voters: VoterSet | readonly string[];
  readonly nodes: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly entry: string;
  }[];
  readonly replicas: readonly {
    readonly id: string;
    readonly model: string;
    readonly owner?: string;
    readonly stages: readonly string[];
  }[];
  readonly upstreams: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly url: string;
  }[];
  readonly queues?: readonly { readonly tier: string; readonly waiting: number }[];
}

/** A table for each kind of thing in `s`. */
export function statusTable(s: Status): string {
  const nodes = s.nodes.map((n) => [n.id, n.dataCentre, roleOf(s, n.id), n.entry]);
  const replicas = s.replicas.map((r) => [r.id, r.model, r.owner ?? '-', r.stages.join(' ')]);
  const upstreams = s.upstreams.map((u) => [u.id, u.dataCentre, u.url]);
  const queues = (s.queues ?? []).map((q) => [q.tier, String(q.waiting)]);
  return [
    `As node ${s.node} knows it; release ${s.release} is in force.\n`,
    table(['NODE', 'DATA CENTRE', 'ROLE', 'ENTRY'], nodes),
    table(['REPLICA', 'MODEL', 'OWNER', 'STAGES'], replicas),
    table(['UPSTREAM', 'DATA CENTRE', 'URL'], upstreams),
    ...(s.queues ? [table(['TIER', 'WAITING'], queues)] : []),
  ].join('\n');
}

function roleOf({ leader, voters }: Status, id: string): string {
  if (id === leader) return 'leader';
  if (!('learners' in voters)) return voters.includes(id) ? 'voter' : '';
  if (voters.voters.some((v) => v.id === id)) return 'voter';
  return voters.learners.some((l) => l.id === id) ? 'learner' : '';
}

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [head, ...rows];
  const width = head.map((_, i) => Math.max(...all.map((r) => r[i]!.length)));
  const lines = all.map((r) =>
    r
      .map((cell, i) => cell.padEnd(width[i]!))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
