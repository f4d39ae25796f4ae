/** Commands that show the state of the system and drain its nodes. */

import { Command, Option } from 'clipanion';
import { OperatorCommand } from './operatorcommand.js';
import { formatStatus } from './statustable.js';
import type { Status } from './statustable.js';

/** `tanagercart status`: shows the state of the system as one node sees it. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Show nodes, voters, owners and upstreams',
    examples: [
      ['Show a table', 'tanagercart status --url http://10.20.1.1:9100'],
      ['Print the whole status as JSON', 'tanagercart status --json'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  execute(): Promise<number> {
    const show = this.json ? undefined : (answer: unknown) => formatStatus(answer as Status);
    return this.send('GET', '/operators/v1/status', undefined, show);
  }
}

/** `tanagercart entries`: lists the addresses for callers. */
export class EntriesCommand extends OperatorCommand {
  static override paths = [['entries']];

  static override usage = Command.Usage({
    description: 'List the addresses that callers may use',
    examples: [['List them', 'tanagercart entries']],
  });

  execute(): Promise<number> {
    const show = (answer: unknown) => (answer as Status).nodes.map((n) => `${n.entry}\n`).join('');
    return this.send('GET', '/operators/v1/status', undefined, show);
  }
}

/** `tanagercart drain`: stops a node once its requests in progress have finished. */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: 'Drain a node, which then exits',
    details: 'Any node forwards the request; `--url` names the node that receives it.',
    examples: [['Drain the node r3', 'tanagercart drain r3']],
  });

  node = Option.String({ required: true });

  execute(): Promise<number> {
    return this.send('POST', `/operators/v1/nodes/${encodeURIComponent(this.node)}/drain`);
  }
}
