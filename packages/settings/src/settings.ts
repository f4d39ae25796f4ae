/** Settings of one node, in TOML. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import { z } from 'zod';
import type { DataCentreId, NodeId } from '@tanagercart/base';

const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a name of letters, digits, ".", "_", "-"');

const hostPort = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected "IP:port"');

const nodeId = name.transform((s) => s as NodeId);
const dataCentre = name.transform((s) => s as DataCentreId);

const self = z.strictObject({
  id: nodeId,
  dataCentre,
  /** Address for the other nodes. */
  peer: hostPort,
  /** Address for callers and upstreams. */
  entry: hostPort,
  /** Address for operators. */
  operator: hostPort,
  /** Folder for durable state; only where there is a disk. */
  data: z.string().min(1).optional(),
});

const peer = z.strictObject({ id: nodeId, dataCentre, peer: hostPort, entry: hostPort });

const limits = z.strictObject({
  /** Largest request body, in bytes. */
  bodyBytes: z
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Most tokens of one answer. */
  answerTokens: z.int().positive().default(32_768),
  /** Longest time a caller may take to send a request, in milliseconds. */
  requestMs: z.int().positive().default(30_000),
});

const log = z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') });

const metrics = z.strictObject({ statsd: hostPort.optional() });

const settings = z.strictObject({
  cluster: name,
  /** Nodes that vote in the replicated log of a new cluster. */
  voters: z.array(nodeId).min(1),
  /** Name of the environment variable that holds the operators' key. */
  operatorKeyEnv: z.string().min(1).default('TANAGERCART_OPERATOR_KEY'),
  node: self,
  peers: z.array(peer).default([]),
  limits: limits.prefault({}),
  log: log.prefault({}),
  metrics: metrics.prefault({}),
});

/** Checked settings. */
export type Settings = z.infer<typeof settings>;

/** What is wrong with settings, and where. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted path of the key; empty where the file is no TOML. */
  readonly key: string;
  readonly message: string;
}

/** Parses and checks the text of a settings file; every problem is reported. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsProblem[]> {
  const table = parseToml(text, file);
  if (table.isErr()) return err(table.error);
  const checked = settings.safeParse(table.value);
  if (!checked.success) return err(checked.error.issues.map((i) => problemOf(i, file)));
  return ok(checked.data);
}

/** One line for a problem: file, key and message. */
export function describeProblem(p: SettingsProblem): string {
  return p.key ? `${p.file}: ${p.key}: ${p.message}` : `${p.file}: ${p.message}`;
}

function parseToml(text: string, file: string): Result<unknown, readonly SettingsProblem[]> {
  try {
    return ok(parse(text));
  } catch (e) {
    if (!(e instanceof TomlError)) throw e;
    return err([{ file, key: '', message: e.message }]);
  }
}

function problemOf(issue: z.core.$ZodIssue, file: string): SettingsProblem {
  const key = issue.path.map(String).join('.');
  return { file, key, message: issue.message };
}
