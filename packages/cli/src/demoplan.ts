/** The plan of a demo: settings of the nodes, first release note, upstreams and keys. */

import { readFile, readdir } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { DataCentreId, NodeId, digestOf } from '@tanagercart/base';
import { formatProblem, parseSettings, settingsSchema } from '@tanagercart/settings';
import type { Settings } from '@tanagercart/settings';

/** Folder with one subfolder for each example. */
const examplesFolder = fileURLToPath(new URL('../../../../examples/', import.meta.url));

const replica = z.strictObject({
  id: z.string(),
  model: z.string(),
  versions: z.array(z.string()).min(1),
  adapters: z.array(z.string()).default([]),
  dataCentre: z.string(),
  /** Layer boundaries: stage i holds the layers from `cuts[i]` up to `cuts[i + 1]`. */
  cuts: z.array(z.int().min(0)).min(2),
  /** Kind of accelerator of each stage; stages beyond the list use the first. */
  accelerators: z.array(z.string()).min(1),
  tokensPerSecond: z.number().positive(),
  slots: z.int().positive(),
  /** Time for one token in one stage, in milliseconds. */
  tokenMs: z.number().min(0),
});

const desk = z.strictObject({ id: z.string(), service: z.string(), dataCentre: z.string() });

const upstreams = z.strictObject({
  /** API key of each client account. */
  keys: z.record(z.string(), z.string()),
  replicas: z.array(replica).min(1),
  desks: z.array(desk),
});

/** A replica that the demo runs, with one simulated engine for each stage. */
export type DemoReplica = z.infer<typeof replica>;

/** The plan of a demo. */
export interface DemoPlan extends z.infer<typeof upstreams> {
  readonly settings: readonly Settings[];
  /** The first release note, in TOML. */
  readonly note: string;
}

/** Lists the names of the examples. */
export function listExamples(): Promise<readonly string[]> {
  return readdir(examplesFolder);
}

/** Reads the plan of the example `name`. The error has one line for each problem. */
export async function readExamplePlan(name: string): Promise<Result<DemoPlan, readonly string[]>> {
  const names = await listExamples();
  if (!names.includes(name)) return err([`no example "${name}"; there are ${names.join(', ')}`]);
  const folder = `${examplesFolder}${name}/`;
  const files = (await readdir(folder)).sort();
  const read = (file: string) => readFile(folder + file, 'utf8');
  const settings: Settings[] = [];
  for (const file of files.filter((f) => /^[a-z]\d+\.toml$/.test(f))) {
    const parsed = parseSettings(await read(file), folder + file);
    if (parsed.isErr()) return err(parsed.error.map(formatProblem));
    settings.push(parsed.value);
  }
  const parsed = upstreams.safeParse(parse(await read('demo.toml')));
  if (!parsed.success) return err([`${folder}demo.toml: ${z.prettifyError(parsed.error)}`]);
  return ok({ ...parsed.data, settings, note: await read('release-1.toml') });
}

const growerKey = 'demo-grower-key';

/** A plan with one model, one service and one account, used by default and in tests. */
export function smallPlan(nodes: number): DemoPlan {
  const ids = Array.from({ length: nodes }, (_, i) => NodeId(`n${i + 1}`));
  const replicaOf = (id: string): DemoReplica => ({
    id,
    model: 'fig-advisor',
    versions: ['1'],
    adapters: [],
    dataCentre: 'north-1',
    cuts: [0, 4, 8],
    accelerators: ['small', 'small'],
    tokensPerSecond: 200,
    slots: 8,
    tokenMs: 2,
  });
  return {
    settings: ids.map((id) => smallSettings(id, ids)),
    note: smallNote,
    keys: { grower: growerKey },
    replicas: [replicaOf('fig-1'), replicaOf('fig-2')],
    desks: [{ id: 'desk-1', service: 'orders', dataCentre: 'north-1' }],
  };
}

function smallSettings(id: NodeId, ids: readonly NodeId[]): Settings {
  const loopback = '127.0.0.1:0';
  const dataCentre = DataCentreId('north-1');
  const address = { dataCentre, peer: loopback, entry: loopback };
  return settingsSchema.parse({
    cluster: 'demo',
    voters: ids.slice(0, 3),
    node: { id, ...address, operator: loopback },
    peers: ids.filter((p) => p !== id).map((p) => ({ id: p, ...address })),
  });
}

const smallNote = `number = 1
author = "demo"
[[added.priceLists]]
id = "standard"
[[added.priceLists.tiers]]
id = "urgent"
urgency = 0
price = 9.0
firstTokenMs = 690
tokenGapMs = 78
concurrency = 32
requestsPerSecond = 100
tokensPerSecond = 20000
[[added.clientAccounts]]
id = "grower"
priceList = "standard"
defaultTier = "urgent"
keyDigest = "${digestOf(growerKey)}"
[[added.models]]
id = "fig-advisor"
layers = 8
versions = ["1"]
[[added.services]]
id = "orders"
[[added.services.calls]]
method = "POST"
path = "/orders"
repeatable = false
[[added.services.calls]]
method = "GET"
path = "/orders"
repeatable = true
`;
