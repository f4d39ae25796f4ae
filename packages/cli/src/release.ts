/** The commands of `tanagercart release`. */

import { Command, Option } from 'clipanion';
import { unreachable } from '@tanagercart/base';
import { OperatorCommand } from './operatorcommand.js';
import { readText } from './files.js';
import { callOperatorApi } from './operator.js';
import type { OperatorResponse } from './operator.js';

/** Done; for a submit, the note is in force everywhere. */
const success = 0;
/** Refused: nothing was changed. */
const refusal = 1;
/** Not known to be done, or not yet in force everywhere. */
const uncertain = 2;

const releasesPath = '/operators/v1/releases';

interface Problem {
  readonly entry: string;
  readonly line: number;
  readonly message: string;
}

interface KeyChange {
  readonly key: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

interface Change {
  readonly kind: string;
  readonly part: string;
  readonly keys: readonly KeyChange[];
}

type Spread =
  | { readonly kind: 'in-force' }
  | {
      readonly kind: 'pending';
      readonly waitingFor: readonly string[];
      readonly atMostMs: number;
    }
  | { readonly kind: 'no-leader' };

/** Answers of the operators' listener about releases; which keys are there depends on the status. */
interface ReleaseAnswer {
  readonly number?: number;
  readonly digest?: string;
  readonly resend?: boolean;
  readonly spread?: Spread;
  readonly difference?: readonly Change[];
  readonly error?: {
    readonly code: string;
    readonly message: string;
    readonly problems?: readonly Problem[];
  };
}

interface Said {
  readonly exit: number;
  readonly out: readonly string[];
  readonly err: readonly string[];
}

/** `tanagercart release submit`: submits a note and waits until it is in force everywhere. */
export class SubmitCommand extends OperatorCommand {
  static override paths = [['release', 'submit']];

  static override usage = Command.Usage({
    description: 'Submit a release note',
    details: `
      Exits with 0 once the note is in force everywhere, with 1 where it was refused, and with 2
      where it is not known to be accepted or not yet in force everywhere; submit it again then.
    `,
    examples: [
      ['Submit a note', 'tanagercart release submit release-1.toml'],
      ['Show what it would change', 'tanagercart release submit release-1.toml --dry-run'],
    ],
  });

  file = Option.String();

  dryRun = Option.Boolean('--dry-run', false, { description: 'Only show the difference' });

  async execute(): Promise<number> {
    const text = await readText(this.file);
    if (text.isErr()) {
      this.context.stderr.write(`${text.error.join('\n')}\n`);
      return refusal;
    }
    const path = this.dryRun ? `${releasesPath}?dry-run=true` : releasesPath;
    const key = process.env[this.keyEnv] ?? '';
    const answer = await callOperatorApi(this.url, key, 'POST', path, text.value);
    const said = answer.match(
      (a) => (this.dryRun ? describeTrial(this.file, a) : describeSubmit(this.file, a)),
      (e) => ({ exit: this.dryRun ? refusal : uncertain, out: [], err: [e] }),
    );
    for (const line of said.out) this.context.stdout.write(`${line}\n`);
    for (const line of said.err) this.context.stderr.write(`${line}\n`);
    return said.exit;
  }
}

/** `tanagercart release show`: shows the release in force, or one note. */
export class ShowReleaseCommand extends OperatorCommand {
  static override paths = [['release', 'show']];

  static override usage = Command.Usage({
    description: 'Show the release in force, or a recent note',
    examples: [
      ['Show the release in force', 'tanagercart release show'],
      ['Show note 7', 'tanagercart release show 7'],
    ],
  });

  number = Option.String({ required: false });

  async execute(): Promise<number> {
    return this.send('GET', `${releasesPath}/${this.number ?? 'current'}`);
  }
}

/** `tanagercart release history`: lists the recent notes. */
export class HistoryCommand extends OperatorCommand {
  static override paths = [['release', 'history']];

  static override usage = Command.Usage({ description: 'List the recent release notes' });

  async execute(): Promise<number> {
    return this.send('GET', releasesPath);
  }
}

/** What to tell the operator after a submit. */
export function describeSubmit(file: string, answer: OperatorResponse): Said {
  const body = answer.body as ReleaseAnswer;
  if (body.error) return describeError(file, answer.status, body);
  const again = body.resend ? ', as answered before' : '';
  const accepted = `release ${body.number} (digest ${body.digest}) is accepted${again}`;
  const spread: Spread = body.spread ?? { kind: 'no-leader' };
  switch (spread.kind) {
    case 'in-force':
      return { exit: success, out: [`${accepted} and in force everywhere`], err: [] };
    case 'pending': {
      const { waitingFor, atMostMs } = spread;
      const nodes = waitingFor.join(', ') || 'nodes that the leader does not know yet';
      const bound = `in force in ${(atMostMs / 1000).toFixed(1)} s at most`;
      return { exit: uncertain, out: [accepted], err: [`not yet in force on ${nodes}; ${bound}`] };
    }
    case 'no-leader':
      return {
        exit: uncertain,
        out: [accepted],
        err: ['no leader could tell whether it is in force'],
      };
    default:
      return unreachable(spread);
  }
}

/** What to tell the operator after a dry run. */
export function describeTrial(file: string, answer: OperatorResponse): Said {
  const body = answer.body as ReleaseAnswer;
  if (body.error) return { ...describeError(file, answer.status, body), exit: refusal };
  const lines = (body.difference ?? []).flatMap((c) => [
    `${c.kind} ${c.part}`,
    ...c.keys.map((k) => `  ${k.key}: ${JSON.stringify(k.before)} -> ${JSON.stringify(k.after)}`),
  ]);
  return { exit: success, out: lines.length > 0 ? lines : ['nothing changes'], err: [] };
}

function describeError(file: string, status: number, { error }: ReleaseAnswer): Said {
  if (!error) return { exit: refusal, out: [], err: [`answered with status ${status}`] };
  const problems = (error.problems ?? []).map(
    (p) => `${file}:${p.line > 0 ? `${p.line}:` : ''} ${p.entry}: ${p.message}`,
  );
  const exit = error.code === 'unknown' ? uncertain : refusal;
  return { exit, out: [], err: [`${error.code}: ${error.message}`, ...problems] };
}
