/** Reads secrets from the environment or from files. */

import { readFile } from 'node:fs/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SecretSource } from './schema.js';

/** Shortest accepted secret, in characters. */
const minLength = 8;

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Reads and checks a secret. The error names its source and never its content. */
export async function readSecret(
  source: SecretSource,
  env: Environment,
): Promise<Result<string, string>> {
  if ('env' in source) return checkLength(env[source.env], `environment variable ${source.env}`);
  try {
    return checkLength((await readFile(source.file, 'utf8')).trim(), `file ${source.file}`);
  } catch (error) {
    return err(`file ${source.file}: ${(error as Error).message}`);
  }
}

function checkLength(secret: string | undefined, place: string): Result<string, string> {
  if (secret === undefined) return err(`${place} is not set`);
  if (secret.length >= minLength) return ok(secret);
  return err(`${place}: found ${secret.length} characters; expected at least ${minLength}`);
}
