/** The commands that show and change the voters of the replicated log. */

import { Command, Option } from 'clipanion';
import { OperatorCommand } from './operatorcommand.js';

/** `tanagercart voters show`: shows the voters of the replicated log. */
export class VotersShowCommand extends OperatorCommand {
  static override paths = [['voters', 'show']];

  static override usage = Command.Usage({ description: 'Show the voters of the replicated log' });

  execute(): Promise<number> {
    return this.send('GET', '/operators/v1/voters');
  }
}

/** `tanagercart voters add|remove`: adds or removes one voter. */
export class VotersChangeCommand extends OperatorCommand {
  static override paths = [
    ['voters', 'add'],
    ['voters', 'remove'],
  ];

  static override usage = Command.Usage({
    description: 'Add or remove a voter of the replicated log',
    examples: [
      ['Add a node, or add it again after the loss of its disk', 'tanagercart voters add n4'],
      ['Add a node in place of a dead voter', 'tanagercart voters add n6 --replaces n2'],
      ['Remove a node', 'tanagercart voters remove n2'],
    ],
  });

  node = Option.String();

  replaces = Option.String('--replaces', {
    description: 'With add: a voter that leaves first if it does not answer',
  });

  execute(): Promise<number> {
    const [, action] = this.path;
    const { node, replaces } = this;
    return this.send('POST', '/operators/v1/voters', JSON.stringify({ action, node, replaces }));
  }
}
