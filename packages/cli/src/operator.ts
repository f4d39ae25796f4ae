/** Calls to a node's listener for operators. */

import { request } from 'undici';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** An answer of a node. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends one call with the operators' key. */
export async function callOperatorApi(
  base: string,
  key: string,
  method: 'GET' | 'POST',
  path: string,
  body?: string,
): Promise<Result<OperatorResponse, string>> {
  try {
    const response = await request(base + path, {
      method,
      headers: { authorization: `Bearer ${key}` },
      ...(body === undefined ? {} : { body }),
    });
    return ok({ status: response.statusCode, body: await response.body.json() });
  } catch (error) {
    return err(`${base}: ${(error as Error).message}`);
  }
}
