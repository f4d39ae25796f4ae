/** The command line of tanagercart. */

import { Builtins, Cli } from 'clipanion';
import {
  CheckCommand,
  DemoCommand,
  NodeCommand,
  StatusCommand,
  SubmitCommand,
  VotersChangeCommand,
  VotersShowCommand,
} from './commands.js';

export * from './demo.js';

/** Runs one command line and exits with its code. */
export async function main(args: readonly string[]): Promise<void> {
  const cli = new Cli({
    binaryName: 'tanagercart',
    binaryLabel: 'Tanagercart',
    binaryVersion: '0.1.0',
  });
  const commands = [
    NodeCommand,
    CheckCommand,
    SubmitCommand,
    StatusCommand,
    VotersShowCommand,
    VotersChangeCommand,
    DemoCommand,
  ];
  for (const command of commands) {
    cli.register(command);
  }
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  process.exitCode = await cli.run([...args]);
}
