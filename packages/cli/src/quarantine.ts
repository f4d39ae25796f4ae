/** The commands of `tanagercart quarantine`. */

import { Command, Option } from 'clipanion';
import { OperatorCommand } from './operatorcommand.js';

/** `tanagercart quarantine list`: shows the quarantined requests. */
export class QuarantineCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list']];

  static override usage = Command.Usage({ description: 'Show quarantined requests' });

  execute(): Promise<number> {
    return this.send('GET', '/operators/v1/quarantine');
  }
}

/** `tanagercart quarantine lift`: lifts the quarantine of one request. */
export class LiftCommand extends OperatorCommand {
  static override paths = [['quarantine', 'lift']];

  static override usage = Command.Usage({
    description: 'Lift the quarantine of a request',
    examples: [['Lift one', 'tanagercart quarantine lift FINGERPRINT']],
  });

  fingerprint = Option.String();

  execute(): Promise<number> {
    return this.send('POST', '/operators/v1/quarantine/lift', this.fingerprint);
  }
}
