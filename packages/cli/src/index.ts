/** The command line of tanagercart. */

import { Builtins, Cli } from 'clipanion';
import { CheckCommand, DemoCommand, NodeCommand, StatusCommand } from './commands.js';
import { LiftCommand, QuarantineCommand } from './quarantine.js';
import { HistoryCommand, ShowReleaseCommand, SubmitCommand } from './release.js';

export * from './demo.js';

const commands = [
  NodeCommand,
  CheckCommand,
  SubmitCommand,
  ShowReleaseCommand,
  HistoryCommand,
  StatusCommand,
  DemoCommand,
];

/** Runs one command line and exits with its code. */
export async function main(args: readonly string[]): Promise<void> {
  const cli = new Cli({
    binaryName: 'tanagercart',
    binaryLabel: 'Tanagercart',
    binaryVersion: '0.1.0',
  });
  for (const command of commands) {
    cli.register(command);
  }
  cli.register(QuarantineCommand);
  cli.register(LiftCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  process.exitCode = await cli.run([...args]);
}
