/** Reads and checks the files that command lines name. */

import { readFile } from 'node:fs/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { formatProblem, parseSettings } from '@tanagercart/settings';
import type { Settings } from '@tanagercart/settings';
import { parseNote } from '@tanagercart/release';
import type { ReleaseNote } from '@tanagercart/release';
import { parseMachineSettings, validateDocument } from '@tanagercart/platform';
import type { Configuration } from '@tanagercart/config';

/** Reads a text file; the error names the file. */
export async function readText(file: string): Promise<Result<string, readonly string[]>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (error) {
    return err([`${file}: ${(error as Error).message}`]);
  }
}

/** Reads and checks settings; each error is one line. */
export async function readSettings(file: string): Promise<Result<Settings, readonly string[]>> {
  const text = await readText(file);
  if (text.isErr()) return err(text.error);
  return parseSettings(text.value, file).mapErr((problems) => problems.map(formatProblem));
}

/** Reads and checks a release note; each error is one line. */
export async function readNote(file: string): Promise<Result<ReleaseNote, readonly string[]>> {
  const text = await readText(file);
  if (text.isErr()) return err(text.error);
  return parseNote(text.value).mapErr((problems) =>
    problems.map((p) => `${file}:${p.line > 0 ? `${p.line}:` : ''} ${p.entry}: ${p.message}`),
  );
}

/** Checks the settings that the platform wrote for a machine; each error is one line. */
export async function readMachineSettings(file: string): Promise<Result<void, readonly string[]>> {
  const text = await readText(file);
  if (text.isErr()) return err(text.error);
  return parseMachineSettings(file, text.value)
    .map(() => undefined)
    .mapErr((p) => [`${p.file}: ${p.key === '' ? 'file' : p.key}: ${p.what}`]);
}

/** Reads and checks a configuration in the form that operators send; each error is one line. */
export async function readConfiguration(
  file: string,
): Promise<Result<Configuration, readonly string[]>> {
  const text = await readText(file);
  if (text.isErr()) return err(text.error);
  return validateDocument(text.value).mapErr((p) => [
    `${file}: ${p.where}: ${p.what}; ${p.remedy}`,
  ]);
}
