/** The commands of `tanagercart release`. */

import { Command, Option } from 'clipanion';
import { unreachable } from '@tanagercart/base';
import { OperatorCommand } from './operatorcommand.js';
import { readText } from './files.js';
import { callOperatorApi } from './operator.js';
import type { OperatorResponse } from './operator.js';

/** The command succeeded; after a submission, the note is in force on all nodes. */
const success = 0;
/** The note was refused, and nothing was changed. */
const failure = 1;
/** The note may or may not be accepted, or is not yet in force on all nodes. */
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

/** Whether a release is in force on all nodes. */
type RolloutStatus =
  | { readonly kind: 'in-force' }
  | {
      readonly kind: 'pending';
      readonly waitingFor: readonly string[];
      readonly atMostMs: number;
    }
  | { readonly kind: 'no-leader' };

/** Responses of the operator listener about releases; which keys are set depends on the status. */
interface ReleaseAnswer {
  readonly number?: number;
  readonly digest?: string;
  readonly resend?: boolean;
  readonly spread?: RolloutStatus;
  readonly difference?: readonly Change[];
  readonly error?: {
    readonly code: string;
    readonly message: string;
    readonly problems?: readonly Problem[];
  };
}

/** The exit code of a command and the lines that it prints to standard output and error. */
interface CommandOutput {
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
      return failure;
    }
    const path = this.dryRun ? `${releasesPath}?dry-run=true` : releasesPath;
    const key = process.env[this.keyEnv] ?? '';
    const answer = await callOperatorApi(this.url, key, 'POST', path, text.value);
    const output = answer.match(
      (a) => (this.dryRun ? formatDryRun(this.file, a) : formatSubmission(this.file, a)),
      (e) => ({ exit: this.dryRun ? failure : uncertain, out: [], err: [e] }),
    );
    for (const line of output.out) this.context.stdout.write(`${line}\n`);
    for (const line of output.err) this.context.stderr.write(`${line}\n`);
    return output.exit;
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

/** Formats the response to a submission. */
export function formatSubmission(file: string, answer: OperatorResponse): CommandOutput {
  const body = answer.body as ReleaseAnswer;
  if (body.error) return formatError(file, answer.status, body);
  const resent = body.resend ? ', as answered before' : '';
  const accepted = `release ${body.number} (digest ${body.digest}) is accepted${resent}`;
  const spread: RolloutStatus = body.spread ?? { kind: 'no-leader' };
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

/** Formats the response to a dry run. */
export function formatDryRun(file: string, answer: OperatorResponse): CommandOutput {
  const body = answer.body as ReleaseAnswer;
  if (body.error) return { ...formatError(file, answer.status, body), exit: failure };
  const lines = (body.difference ?? []).flatMap((c) => [
    `${c.kind} ${c.part}`,
    ...c.keys.map((k) => `  ${k.key}: ${JSON.stringify(k.before)} -> ${JSON.stringify(k.after)}`),
  ]);
  return { exit: success, out: lines.length > 0 ? lines : ['nothing changes'], err: [] };
}

function formatError(file: string, status: number, { error }: ReleaseAnswer): CommandOutput {
  if (!error) return { exit: failure, out: [], err: [`answered with status ${status}`] };
  const problems = (error.problems ?? []).map(
    (p) => `${file}:${p.line > 0 ? `${p.line}:` : ''} ${p.entry}: ${p.message}`,
  );
  const exit = error.code === 'unknown' ? uncertain : failure;
  return { exit, out: [], err: [`${error.code}: ${error.message}`, ...problems] };
}
