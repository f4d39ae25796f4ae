/** The shape of a settings file and its defaults. */

import { z } from 'zod';
import type { DataCentreId, NodeId } from '@tanagercart/base';

const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'a name of letters, digits, ".", "_" and "-"');

const hostPort = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'an address "IP:port"');

const nodeId = name.transform((s) => s as NodeId);
const dataCentre = name.transform((s) => s as DataCentreId);

const node = z.strictObject({
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

const secret = z.union(
  [z.strictObject({ env: z.string().min(1) }), z.strictObject({ file: z.string().min(1) })],
  'a table { env = "NAME" } or { file = "PATH" }',
);

const keys = z.strictObject({
  /** Key that operators send. */
  operator: secret.default({ env: 'TANAGERCART_OPERATOR_KEY' }),
  /** Key that upstreams send with their announcements; none is asked for where it is left out. */
  upstream: secret.optional(),
});

const limits = z.strictObject({
  /** Largest request body, in bytes. */
  bodyBytes: z
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Largest head of a request, in bytes. */
  headerBytes: z.int().min(1024).default(16_384),
  /** Longest prompt, in bytes of UTF-8. */
  promptBytes: z.int().positive().default(1_048_576),
  /** Most tokens of one answer. */
  answerTokens: z.int().positive().default(32_768),
  /** Longest time a caller may take to send a request, in milliseconds. */
  requestMs: z.int().positive().default(30_000),
  /** Longest time a caller may leave its answer unread, in milliseconds. */
  unreadMs: z.int().positive().default(30_000),
});

const timing = z.strictObject({
  /** Time between two heartbeats of a leader of the log, in milliseconds. */
  heartbeatMs: z.int().positive().default(100),
  /** Least time without a leader before an election, in milliseconds. */
  electionMs: z.int().positive().default(500),
  /** Length of a configuration lease, in milliseconds. */
  leaseMs: z.int().positive().default(2000),
  /** How long a parent holds a follower's call when there is nothing to tell, in milliseconds. */
  holdMs: z.int().positive().default(400),
  /** Silence after which a node counts as down, in milliseconds. */
  silenceMs: z.int().positive().default(1500),
});

const upstreams = z.strictObject({
  /** Ids of upstreams that refuse old fencing numbers; a trailing "*" matches any rest. */
  checkFencing: z.array(z.string().min(1)).default([]),
  /** Loads that the weight store serves at once, in the whole system. */
  loadsAtOnce: z.int().positive().default(4),
});

const log = z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') });

const metrics = z.strictObject({ statsd: hostPort.optional() });

/** The whole file. */
export const settingsSchema = z.strictObject({
  cluster: name,
  /** Nodes that vote in the replicated log of a new cluster. */
  voters: z.array(nodeId).min(1),
  node,
  peers: z.array(peer).default([]),
  keys: keys.prefault({}),
  limits: limits.prefault({}),
  timing: timing.prefault({}),
  upstreams: upstreams.prefault({}),
  log: log.prefault({}),
  metrics: metrics.prefault({}),
});

/** Checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Where a secret is kept. */
export type SecretSource = z.infer<typeof secret>;
