/** A client for the operator listener of a node. */

import { request } from 'undici';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** The response of a node. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends one request with the operators' key. The error names the URL. */
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
