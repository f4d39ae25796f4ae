/** `tanagercart explain`: prints the history of one request. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Command, Option } from 'clipanion';
import { failure, success } from './exit.js';
import { parseLogLine, requestHistory } from './requesthistory.js';
import type { LogLine } from './requesthistory.js';

/** Collects the history of a request from log files or standard input. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Show the history of a request from the logs of all processes',
    examples: [
      ['Read some files', 'tanagercart explain 9c41d07be2a35f68 entry-1.log entry-2.log'],
      ['Read standard input', 'tanagercart explain 9c41d07be2a35f68 < all.log'],
    ],
  });

  request = Option.String();

  files = Option.Rest();

  async execute(): Promise<number> {
    const inputs =
      this.files.length > 0 ? this.files.map((f) => createReadStream(f)) : [this.context.stdin];
    const lines: LogLine[] = [];
    try {
      for (const input of inputs) {
        for await (const text of createInterface({ input, crlfDelay: Infinity })) {
          const line = parseLogLine(text, lines.length);
          if (line) lines.push(line);
        }
      }
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return failure;
    }
    const history = requestHistory(lines, this.request);
    if (history.length === 0) {
      this.context.stderr.write(`no line of ${lines.length} names request ${this.request}\n`);
      return failure;
    }
    this.context.stdout.write(`${history.join('\n')}\n`);
    return success;
  }
}
