/** The demo: nodes, stand-in engines and an order desk in one process. */

import { join } from 'node:path';
import { BunyanLogger, digestOf } from '@tanagercart/base';
import type { Clock } from '@tanagercart/base';
import { MemoryDisk } from '@tanagercart/log';
import { Node } from '@tanagercart/node';
import { parseSettings } from '@tanagercart/settings';
import { EngineStandIn, OrderDesk } from '@tanagercart/standin';
import { callOperator } from './operator.js';

/** Pause between two looks at whether the demo serves, in milliseconds. */
const lookMs = 50;

const layers = 8;
const callerKey = 'demo-grower-key';
const operatorKey = 'demo-operator-key';

/** What the demo is made of. */
export interface DemoOptions {
  readonly nodes: number;
  readonly clock: Clock;
  /** Folder with one folder for each node; without it the demo forgets with its process. */
  readonly data?: string;
}

/** What the demo says once it serves. */
export interface Ready {
  readonly ready: true;
  readonly entries: readonly string[];
  readonly operators: readonly string[];
  readonly keys: Readonly<Record<string, string>>;
  readonly operatorKey: string;
  readonly models: readonly string[];
  readonly services: readonly string[];
}

/** A running demo. */
export interface Demo {
  readonly ready: Ready;
  readonly nodes: readonly Node[];
  readonly engines: readonly EngineStandIn[];
  readonly desk: OrderDesk;
  readonly placements: ReadonlyMap<string, number>;
  stop(): Promise<void>;
}

/** Starts the demo; resolves once it serves. */
export async function runDemo(o: DemoOptions): Promise<Demo> {
  const nodes = await startNodes(o);
  const entries = nodes.map((n) => n.entryUrl);
  await until(o.clock, () => nodes.every((n) => n.ready));
  const submitted = await callOperator(
    nodes[0]!.operatorUrl,
    operatorKey,
    'POST',
    '/operators/v1/releases',
    note(),
  );
  if (submitted.isErr() || submitted.value.status !== 200) {
    throw new Error(`the first note was refused: ${JSON.stringify(submitted)}`);
  }
  const placements = new Map<string, number>();
  const engines = await Promise.all([
    startStage(o.clock, entries, 'fig-1a', 0, 4),
    startStage(o.clock, entries, 'fig-1b', 4, layers),
    startStage(o.clock, entries, 'fig-2a', 0, 4),
    startStage(o.clock, entries, 'fig-2b', 4, layers),
  ]);
  const settings = { id: 'desk-1', service: 'orders', dataCentre: 'north-1' };
  const desk = await OrderDesk.start(settings, placements, o.clock, entries);
  await until(o.clock, () => nodes.every((n) => serves(n)));
  const ready: Ready = {
    ready: true,
    entries,
    operators: nodes.map((n) => n.operatorUrl),
    keys: { grower: callerKey },
    operatorKey,
    models: ['fig-advisor'],
    services: ['orders'],
  };
  const stop = async () => {
    await Promise.all(engines.map((e) => e.stop()));
    await desk.stop();
    await Promise.all(nodes.map((n) => n.stop()));
  };
  return { ready, nodes, engines, desk, placements, stop };
}

async function startNodes(o: DemoOptions): Promise<readonly Node[]> {
  const ports = await freePorts(o.nodes);
  const names = ports.map((_, i) => `n${i + 1}`);
  const started: Node[] = [];
  for (const [i, id] of names.entries()) {
    const settings = parseSettings(settingsOf(id, names, ports, o.data), `${id}.toml`);
    if (settings.isErr()) throw new Error(JSON.stringify(settings.error));
    const logger = BunyanLogger.create(id, 'warn');
    const node = await Node.start({
      settings: settings.value,
      operatorKey,
      clock: o.clock,
      logger: logger.part('node'),
      ...(o.data === undefined ? { disk: MemoryDisk.create() } : {}),
      onBroken: (error) => {
        throw error;
      },
    });
    if (node.isErr()) throw new Error(node.error.detail);
    started[i] = node.value;
  }
  return started;
}

function settingsOf(
  id: string,
  names: readonly string[],
  ports: readonly number[],
  data: string | undefined,
): string {
  const i = names.indexOf(id);
  const peers = names
    .map(
      (n, k) =>
        `[[peers]]\nid = "${n}"\ndataCentre = "north-1"\npeer = "127.0.0.1:${ports[k]}"\nentry = "127.0.0.1:0"\n`,
    )
    .join('');
  return `cluster = "demo"
voters = ${JSON.stringify(names.slice(0, 3))}
[node]
id = "${id}"
dataCentre = "north-1"
peer = "127.0.0.1:${ports[i]}"
entry = "127.0.0.1:0"
operator = "127.0.0.1:0"
${data === undefined ? '' : `data = ${JSON.stringify(join(data, id))}\n`}${peers}`;
}

function note(): string {
  return `number = 1
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
keyDigest = "${digestOf(callerKey)}"
[[added.models]]
id = "fig-advisor"
layers = ${layers}
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
}

function startStage(
  clock: Clock,
  entries: readonly string[],
  id: string,
  from: number,
  to: number,
) {
  const settings = {
    id,
    dataCentre: 'north-1',
    model: 'fig-advisor',
    versions: ['1'],
    adapters: [],
    from,
    to,
    accelerator: 'small',
    tokensPerSecond: 200,
    slots: 8,
    tokenMs: 2,
  };
  return EngineStandIn.start(settings, clock, entries);
}

function serves(node: Node): boolean {
  const { state } = node.history;
  return state.replicas.size === 2 && state.upstreams.size === 5;
}

async function until(clock: Clock, done: () => boolean): Promise<void> {
  while (!done()) await clock.sleep(lookMs);
}

async function freePorts(count: number): Promise<readonly number[]> {
  const { createServer } = await import('node:net');
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const s = createServer().listen(0, '127.0.0.1', () => resolve(s));
        }),
    ),
  );
  const ports = servers.map((s) => (s.address() as { port: number }).port);
  await Promise.all(
    servers.map(
      (s) =>
        new Promise((resolve) => {
          s.close(resolve);
        }),
    ),
  );
  return ports;
}
