/** The entry point of the command line. */

import { Builtins, Cli, UsageError } from 'clipanion';
import { CheckCommand, DemoCommand, NodeCommand } from './commands.js';
import { ConfigCheckCommand } from './configcheck.js';
import { usageError } from './exit.js';
import { ExplainCommand } from './explain.js';
import { LiftCommand, QuarantineCommand } from './quarantine.js';
import { HistoryCommand, ShowReleaseCommand, SubmitCommand } from './release.js';
import { RestoreCommand } from './restore.js';
import { DrainCommand, EntriesCommand, StatusCommand } from './systemcommands.js';
import { VotersChangeCommand, VotersShowCommand } from './voters.js';

const commands = [
  NodeCommand,
  CheckCommand,
  ConfigCheckCommand,
  SubmitCommand,
  ShowReleaseCommand,
  HistoryCommand,
  EntriesCommand,
  StatusCommand,
  DrainCommand,
  ExplainCommand,
  VotersShowCommand,
  VotersChangeCommand,
  QuarantineCommand,
  LiftCommand,
  RestoreCommand,
  DemoCommand,
];

/** Runs the command that `args` name and sets the exit code of the process. */
export async function main(args: readonly string[]): Promise<void> {
  const cli = new Cli({
    binaryName: 'tanagercart',
    binaryLabel: 'Tanagercart',
    binaryVersion: '0.1.0',
  });
  for (const command of commands) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  const input = [...args];
  const problem = usageProblem(cli, input);
  if (problem !== undefined) {
    process.stderr.write(problem);
    process.exitCode = usageError;
    return;
  }
  process.exitCode = await cli.run(input);
}

/** The message to print if the arguments do not match any command. */
function usageProblem(cli: Cli, input: string[]): string | undefined {
  try {
    cli.process(input);
    return undefined;
  } catch (error) {
    if (error instanceof UsageError || isUnknownSyntax(error)) return cli.error(error);
    throw error;
  }
}

function isUnknownSyntax(error: unknown): error is Error {
  return error instanceof Error && error.name === 'UnknownSyntaxError';
}
