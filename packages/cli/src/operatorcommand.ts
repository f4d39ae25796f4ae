/** The base class of commands that call the operator listener of a node. */

import { Command, Option } from 'clipanion';
import { failure, success } from './exit.js';
import { callOperatorApi } from './operator.js';

/** A command that sends requests with the operators' key. */
export abstract class OperatorCommand extends Command {
  url = Option.String('--url', 'http://127.0.0.1:9100', {
    description: "Base URL of a node's operator listener",
  });

  keyEnv = Option.String('--key-env', 'TANAGERCART_OPERATOR_KEY', {
    description: "Environment variable that holds the operators' key",
  });

  /** Sends a request and prints the body of the response, by default as indented JSON. */
  protected async send(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
    format: (answer: unknown) => string = jsonOf,
  ): Promise<number> {
    const key = process.env[this.keyEnv] ?? '';
    const answer = await callOperatorApi(this.url, key, method, path, body);
    if (answer.isErr()) {
      this.context.stderr.write(`${answer.error}\n`);
      return failure;
    }
    const { status, body: responseBody } = answer.value;
    if (status >= 400) {
      this.context.stderr.write(jsonOf(responseBody));
      return failure;
    }
    this.context.stdout.write(format(responseBody));
    return success;
  }
}

function jsonOf(answer: unknown): string {
  return `${JSON.stringify(answer, null, 2)}\n`;
}
