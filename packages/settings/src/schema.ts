/** The schema of a settings file, with defaults. */

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
  /** Address on which this node listens for other nodes. */
  peer: hostPort,
  /** Address on which it listens for callers and upstreams. */
  entry: hostPort,
  /** Address on which it listens for operators. */
  operator: hostPort,
  /** Folder for durable state; set only on nodes with a disk. */
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
  /** Key that upstreams send with their announcements; without it, announcements need no key. */
  upstream: secret.optional(),
});

const limits = z.strictObject({
  /** Largest request body, in bytes. */
  bodyBytes: z
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Largest size of the request line and headers, in bytes. */
  headerBytes: z.int().min(1024).default(16_384),
  /** Longest prompt, in bytes of UTF-8. */
  promptBytes: z.int().positive().default(1_048_576),
  /** Largest number of tokens in one response. */
  answerTokens: z.int().positive().default(32_768),
  /** Longest time a caller may take to send a request, in milliseconds. */
  requestMs: z.int().positive().default(30_000),
  /** Longest time a caller may leave its response unread, in milliseconds. */
  unreadMs: z.int().positive().default(30_000),
});

const timing = z.strictObject({
  /** Interval between two heartbeats of the leader of the log, in milliseconds. */
  heartbeatMs: z.int().positive().default(100),
  /** Shortest election timeout, in milliseconds. */
  electionMs: z.int().positive().default(500),
  /** Length of a configuration lease, in milliseconds. */
  leaseMs: z.int().positive().default(2000),
  /**
   * Time for which a parent holds the long poll of a follower when there is no change, in
   * milliseconds.
   */
  holdMs: z.int().positive().default(400),
  /** Time without a report after which a node is considered down, in milliseconds. */
  silenceMs: z.int().positive().default(1500),
});

const upstreams = z.strictObject({
  /** Ids of upstreams that reject outdated fencing numbers; a trailing "*" matches any suffix. */
  checkFencing: z.array(z.string().min(1)).default([]),
  /** Number of concurrent loads that the weight store serves, in the whole system. */
  loadsAtOnce: z.int().positive().default(4),
});

const log = z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') });

const metrics = z.strictObject({ statsd: hostPort.optional() });

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  cluster: name,
  /** Initial voters of the replicated log, when a cluster is formed. */
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

/** Settings that satisfy the schema. */
export type Settings = z.infer<typeof settingsSchema>;

/** Source of a secret: an environment variable or a file. */
export type SecretSource = z.infer<typeof secret>;
