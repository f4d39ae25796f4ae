/** The command `tanagercart config check`. */

import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { request } from 'undici';
import { differenceOf } from '@tanagercart/config';
import type { Configuration, ConfigurationChange, ConfigurationProblem } from '@tanagercart/config';
import { checkDocument, endpoint } from '@tanagercart/platform';
import type { DocumentCheck } from '@tanagercart/platform';
import { readText } from './files.js';

/** Nothing was found. */
const clean = 0;
/** Some entries can never take effect; the control plane would accept the configuration. */
const warned = 1;
/** The control plane would refuse the configuration, or a file cannot be read. */
const refused = 2;

/** What is found in a configuration, and how it differs from the one in force. */
interface Findings {
  readonly errors: readonly ConfigurationProblem[];
  readonly warnings: readonly ConfigurationProblem[];
  /** Missing without a configuration to compare with. */
  readonly differences?: readonly ConfigurationChange[];
}

/** `tanagercart config check`: checks a configuration before it is sent. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    description: 'Check a configuration before it is sent',
    details: `
      Exits with 0 if nothing was found, with 1 if there are only warnings, and with 2 on errors.
      Differences do not count.
    `,
    examples: [
      ['Check a configuration', 'tanagercart config check configuration.json'],
      ['Compare it with the one in force', 'tanagercart config check new.json --against old.json'],
      ['Ask a voter for that one', 'tanagercart config check new.json --url http://10.20.1.1:9100'],
    ],
  });

  file = Option.String();

  against = Option.String('--against', { description: 'The configuration in force' });

  url = Option.String('--url', {
    description: "Base URL of a voter's control listener, which is asked for the one in force",
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  async execute(): Promise<number> {
    const findings = await this.check();
    if (this.json) this.context.stdout.write(`${JSON.stringify(findings, null, 2)}\n`);
    else this.print(findings);
    if (findings.errors.length > 0) return refused;
    return findings.warnings.length > 0 ? warned : clean;
  }

  private async check(): Promise<Findings> {
    const checked = checkText(await readText(this.file));
    const inForce = await this.checkInForce();
    if (!inForce) return { errors: checked.errors, warnings: checked.warnings };
    const { config } = checked;
    if (!config || !inForce.config) {
      const errors = inForce.config ? [] : inForce.errors.map(ofVersionInForce);
      return { errors: [...checked.errors, ...errors], warnings: checked.warnings };
    }
    const differences = differenceOf(inForce.config, config);
    const versions = versionWarnings(config, inForce.config, differences);
    return { errors: checked.errors, warnings: [...versions, ...checked.warnings], differences };
  }

  /** The configuration to compare with; undefined if none is named. */
  private async checkInForce(): Promise<DocumentCheck | undefined> {
    if (this.against !== undefined) return checkText(await readText(this.against));
    return this.url === undefined ? undefined : checkText(await fetchText(this.url));
  }

  private print({ errors, warnings, differences }: Findings): void {
    const { stdout, stderr } = this.context;
    for (const p of errors) stderr.write(`${this.file}: error: ${textOf(p)}\n`);
    for (const p of warnings) stderr.write(`${this.file}: warning: ${textOf(p)}\n`);
    for (const line of (differences ?? []).flatMap(linesOf)) stdout.write(`${line}\n`);
    if (differences?.length === 0) stdout.write('nothing changes\n');
    if (errors.length + warnings.length === 0) stdout.write('ok\n');
  }
}

/** Reads the document in force from a voter; each error is one line. */
async function fetchText(base: string): Promise<Result<string, readonly string[]>> {
  try {
    const { statusCode, body } = await request(base + endpoint.readConfig);
    const text = await body.text();
    return statusCode === 200 ? ok(text) : err([`${base}: status ${statusCode}: ${text}`]);
  } catch (error) {
    return err([`${base}: ${(error as Error).message}`]);
  }
}

function checkText(text: Result<string, readonly string[]>): DocumentCheck {
  if (text.isOk()) return checkDocument(text.value);
  const errors = text.error.map((what) => ({
    where: 'source',
    what,
    remedy: 'name another source',
  }));
  return { errors, warnings: [], config: undefined };
}

/** The control plane keeps the version in force where it is not lower than one that is sent. */
function versionWarnings(
  config: Configuration,
  inForce: Configuration,
  differences: readonly ConfigurationChange[],
): readonly ConfigurationProblem[] {
  if (config.version > inForce.version || differences.length === 0) return [];
  const what = `${config.version} takes no effect, as ${inForce.version} is in force`;
  return [{ where: 'version', what, remedy: 'raise the version' }];
}

function ofVersionInForce(problem: ConfigurationProblem): ConfigurationProblem {
  return { ...problem, where: `version in force: ${problem.where}` };
}

function textOf({ where, what, remedy }: ConfigurationProblem): string {
  return `${where === '' ? 'document' : where}: ${what}; ${remedy}`;
}

function linesOf({ change, where, fields }: ConfigurationChange): readonly string[] {
  const valueOf = (value: unknown) => JSON.stringify(value) ?? 'not set';
  return [
    `${change} ${where}`,
    ...fields.map((f) => `  ${f.field}: ${valueOf(f.before)} -> ${valueOf(f.after)}`),
  ];
}
