/** `tanagercart explain`: tells what became of one request. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Command, Option } from 'clipanion';
import { refusal, success } from './exit.js';
import { readLine, storyOf } from './story.js';
import type { LogLine } from './story.js';

/** Reads log files, or standard input, and prints the story of a request. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Tell what became of a request, from the logs of all processes',
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
          const line = readLine(text, lines.length);
          if (line) lines.push(line);
        }
      }
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return refusal;
    }
    const story = storyOf(lines, this.request);
    if (story.length === 0) {
      this.context.stderr.write(`no line of ${lines.length} names request ${this.request}\n`);
      return refusal;
    }
    this.context.stdout.write(`${story.join('\n')}\n`);
    return success;
  }
}
