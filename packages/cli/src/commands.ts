/** The commands that run nodes and check files. */

import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { BunyanLogger, SystemClock } from '@tanagercart/base';
import { Node } from '@tanagercart/node';
import { readSecret } from '@tanagercart/settings';
import type { Settings } from '@tanagercart/settings';
import { readConfiguration, readMachineSettings, readNote, readSettings } from './files.js';
import { failure, success } from './exit.js';
import { startDemo } from './demo.js';
import { readExamplePlan } from './demoplan.js';

/** `tanagercart node`: runs one node until a signal or an operator stops it. */
export class NodeCommand extends Command {
  static override paths = [['node']];

  static override usage = Command.Usage({
    description: 'Run one node',
    examples: [['Run a node', 'tanagercart node --settings n1.toml']],
  });

  settings = Option.String('--settings', { required: true });

  async execute(): Promise<number> {
    const settings = await readSettings(this.settings);
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error.join('\n')}\n`);
      return failure;
    }
    const keys = await readKeys(settings.value, this.settings);
    if (keys.isErr()) {
      this.context.stderr.write(`${keys.error}\n`);
      return failure;
    }
    const logger = BunyanLogger.create(settings.value.node.id, settings.value.log.level);
    const started = await Node.start({
      settings: settings.value,
      ...keys.value,
      clock: SystemClock.create(),
      logger: logger.part('node'),
      onBroken: (error) => {
        logger.error('Invariant violated.', { error: String((error as Error).stack ?? error) });
        process.exit(failure);
      },
    });
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.detail}\n`);
      return failure;
    }
    await untilStopRequested(started.value);
    await started.value.drain();
    return success;
  }
}

/** `tanagercart check`: checks settings, release notes and configurations. */
export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Check settings, a release note or a configuration',
    examples: [
      ['Check settings', 'tanagercart check --settings n1.toml'],
      ['Check a release note', 'tanagercart check --note release-1.toml'],
      ['Check the settings of a machine', 'tanagercart check --machine node.toml'],
      ['Check a configuration', 'tanagercart check --configuration configuration.json'],
    ],
  });

  settings = Option.String('--settings');

  note = Option.String('--note');

  machine = Option.String('--machine', { description: 'Settings that the platform wrote' });

  configuration = Option.String('--configuration', {
    description: 'A configuration in the form that operators send',
  });

  async execute(): Promise<number> {
    const problems: string[] = [];
    if (this.settings) (await readSettings(this.settings)).mapErr((p) => problems.push(...p));
    if (this.note) (await readNote(this.note)).mapErr((p) => problems.push(...p));
    if (this.machine) (await readMachineSettings(this.machine)).mapErr((p) => problems.push(...p));
    if (this.configuration) {
      (await readConfiguration(this.configuration)).mapErr((p) => problems.push(...p));
    }
    for (const p of problems) this.context.stderr.write(`${p}\n`);
    if (problems.length === 0) this.context.stdout.write('ok\n');
    return problems.length === 0 ? success : failure;
  }
}

/** `tanagercart demo`: runs nodes with simulated engines and services in one process. */
export class DemoCommand extends Command {
  static override paths = [['demo']];

  static override usage = Command.Usage({
    description: 'Run nodes with simulated engines and services in one process',
    examples: [
      ['Run the example of a maker of drying trays', 'tanagercart demo'],
      ['Run the other example and keep its state', 'tanagercart demo --example keswick --data DIR'],
    ],
  });

  example = Option.String('--example', 'ramdenee', { description: 'Folder below examples/' });

  data = Option.String('--data', { description: 'Folder for state that is kept between runs' });

  async execute(): Promise<number> {
    const plan = await readExamplePlan(this.example);
    if (plan.isErr()) {
      this.context.stderr.write(`${plan.error.join('\n')}\n`);
      return failure;
    }
    const demo = await startDemo({
      plan: plan.value,
      ...(this.data === undefined ? {} : { data: this.data }),
      logLevel: 'info',
      clock: SystemClock.create(),
    });
    this.context.stdout.write(`${JSON.stringify(demo.ready)}\n`);
    for (const node of demo.nodes) void node.untilDrainRequested().then(() => node.drain());
    await untilSignal();
    await demo.drain();
    return success;
  }
}

/** Reads the secrets of a node; the error names the settings file and the key. */
async function readKeys(
  settings: Settings,
  file: string,
): Promise<Result<{ readonly operatorKey: string; readonly upstreamKey?: string }, string>> {
  const { operator, upstream } = settings.keys;
  const operatorKey = await readSecret(operator, process.env);
  if (operatorKey.isErr()) return err(`${file}: keys.operator: ${operatorKey.error}`);
  if (!upstream) return ok({ operatorKey: operatorKey.value });
  const upstreamKey = await readSecret(upstream, process.env);
  if (upstreamKey.isErr()) return err(`${file}: keys.upstream: ${upstreamKey.error}`);
  return ok({ operatorKey: operatorKey.value, upstreamKey: upstreamKey.value });
}

function untilSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

function untilStopRequested(node: Node): Promise<void> {
  return Promise.race([untilSignal(), node.untilDrainRequested()]);
}
