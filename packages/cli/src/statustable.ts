/** Formats the status of the system as tables. */

/** The fields of a status that the tables show. */
export interface Status {
  readonly node: string;
  readonly release: number;
  readonly leader?: string;
  readonly draining: boolean;
  readonly voters: readonly { readonly id: string }[];
  readonly learners?: readonly { readonly id: string }[];
  /** Whether the log of the node that reports the status has failed. */
  readonly logFailed: boolean;
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
  readonly queues?: readonly {
    readonly tier: string;
    readonly waiting: number;
    readonly running: number;
  }[];
}

/** Formats one table each for nodes, replicas, upstreams and queues. */
export function formatStatus(s: Status): string {
  const role = (id: string) => {
    if (id === s.leader) return 'leader';
    if (s.voters.some((v) => v.id === id)) return 'voter';
    return s.learners?.some((l) => l.id === id) ? 'learner' : '';
  };
  const nodes = s.nodes.map((n) => [n.id, n.dataCentre, role(n.id), n.entry]);
  const replicas = s.replicas.map((r) => [r.id, r.model, r.owner ?? '-', r.stages.join(' ')]);
  const upstreams = s.upstreams.map((u) => [u.id, u.dataCentre, u.url]);
  const queues = (s.queues ?? []).map((q) => [q.tier, String(q.waiting), String(q.running)]);
  return [
    `As node ${s.node} knows it${s.draining ? ', which drains' : ''}; release ${s.release} is in force.\n`,
    ...(s.logFailed ? [`The log of ${s.node} has failed: its disk takes no writes.\n`] : []),
    table(['NODE', 'DATA CENTRE', 'ROLE', 'ENTRY'], nodes),
    table(['REPLICA', 'MODEL', 'OWNER', 'STAGES'], replicas),
    table(['UPSTREAM', 'DATA CENTRE', 'URL'], upstreams),
    ...(s.queues ? [table(['TIER', 'WAITING', 'RUNNING'], queues)] : []),
  ].join('\n');
}

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const byName = [...rows].sort(([a = ''], [b = '']) => (a < b ? -1 : 1));
  const all = [head, ...byName];
  const width = head.map((_, i) => Math.max(...all.map((r) => r[i]!.length)));
  const lines = all.map((r) =>
    r
      .map((cell, i) => cell.padEnd(width[i]!))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
