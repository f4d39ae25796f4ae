/** Reads secrets from where the settings say that they are kept. */

import { readFile } from 'node:fs/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SecretSource } from './schema.js';

/** Shortest secret that is accepted, in characters. */
const leastLength = 8;

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Reads a secret; the error names its place, never its content. */
export async function readSecret(
  source: SecretSource,
  env: Environment,
): Promise<Result<string, string>> {
  if ('env' in source) return checked(env[source.env], `environment variable ${source.env}`);
  try {
    return checked((await readFile(source.file, 'utf8')).trim(), `file ${source.file}`);
  } catch (error) {
    return err(`file ${source.file}: ${(error as Error).message}`);
  }
}

function checked(secret: string | undefined, place: string): Result<string, string> {
  if (secret === undefined) return err(`${place} is not set`);
  if (secret.length >= leastLength) return ok(secret);
  return err(`${place}: found ${secret.length} characters; expected at least ${leastLength}`);
}
