/** The command line of tanagercart. */

import { Builtins, Cli } from 'clipanion';
import {
  CheckCommand,
  DemoCommand,
  NodeCommand,
  StatusCommand,
  SubmitCommand,
} from './commands.js';
import { LiftCommand, QuarantineCommand } from './quarantine.js';

export * from './demo.js';

/** Runs one command line and exits with its code. */
export async function main(args: readonly string[]): Promise<void> {
  const cli = new Cli({
    binaryName: 'tanagercart',
    binaryLabel: 'Tanagercart',
    binaryVersion: '0.1.0',
  });
  for (const command of [NodeCommand, CheckCommand, SubmitCommand, StatusCommand, DemoCommand]) {
    cli.register(command);
  }
  cli.register(QuarantineCommand);
  cli.register(LiftCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  process.exitCode = await cli.run([...args]);
}
