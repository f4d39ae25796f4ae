/** What the commands share that talk to a node's listener for operators. */

import { Command, Option } from 'clipanion';
import { refusal, success } from './exit.js';
import { callOperatorApi } from './operator.js';

/** A command that sends one call with the operators' key. */
export abstract class OperatorCommand extends Command {
  url = Option.String('--url', 'http://127.0.0.1:9100', {
    description: "Base URL of a node's operator listener",
  });

  keyEnv = Option.String('--key-env', 'TANAGERCART_OPERATOR_KEY', {
    description: "Environment variable that holds the operators' key",
  });

  /** Sends a call and prints its answer; `show` makes it a text for people. */
  protected async send(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
    show: (answer: unknown) => string = jsonOf,
  ): Promise<number> {
    const key = process.env[this.keyEnv] ?? '';
    const answer = await callOperatorApi(this.url, key, method, path, body);
    if (answer.isErr()) {
      this.context.stderr.write(`${answer.error}\n`);
      return refusal;
    }
    const { status, body: said } = answer.value;
    if (status >= 400) {
      this.context.stderr.write(jsonOf(said));
      return refusal;
    }
    this.context.stdout.write(show(said));
    return success;
  }
}

function jsonOf(answer: unknown): string {
  return `${JSON.stringify(answer, null, 2)}\n`;
}
