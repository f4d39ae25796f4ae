/** The demo: nodes, stand-in engines and services in one process. */

import { join } from 'node:path';
import { BunyanLogger } from '@tanagercart/base';
import type { Clock, Millis, LogLevel } from '@tanagercart/base';
import { MemoryDisk } from '@tanagercart/log';
import { Node } from '@tanagercart/node';
import type { Settings } from '@tanagercart/settings';
import { FakeStage, FakeOrderDesk, FakeWeightStore } from '@tanagercart/standin';
import { smallPlan } from './demoplan.js';
import type { DemoPlan, DemoReplica } from './demoplan.js';
import { callOperator } from './operator.js';

/** Pause between two looks at whether the demo serves, in milliseconds. */
const lookMs = 50;

const operatorKey = 'demo-operator-key';

/** Time for one load from the stand-in of the weight store, in milliseconds. */
const loadMs: Millis = 1000;

/** Loads that the stand-in of the weight store serves at full rate. */
const loadsAtOnce = 4;

/** What the demo is made of. */
export interface DemoOptions {
  /** What to run; a small plan of `nodes` nodes where it is left out. */
  readonly plan?: DemoPlan;
  readonly nodes?: number;
  /** Folder for the durable state of the voters; kept in memory where it is left out. */
  readonly data?: string;
  readonly logLevel?: LogLevel;
  readonly clock: Clock;
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
  readonly engines: readonly FakeStage[];
  readonly desk: FakeOrderDesk;
  readonly placements: ReadonlyMap<string, number>;
  /** Finishes what is in progress, then stops everything. */
  drain(): Promise<void>;
  /** Stops everything at once. */
  stop(): Promise<void>;
}

/** Starts the demo; resolves once it serves. */
export async function runDemo(o: DemoOptions): Promise<Demo> {
  const plan = o.plan ?? smallPlan(o.nodes ?? 2);
  const nodes = await startNodes(o, plan);
  const entries = nodes.map((n) => n.entryUrl);
  await until(o.clock, () => nodes.every((n) => n.ready));
  await submitFirst(nodes[0]!, plan.note);
  const engines = await startEngines(o.clock, entries, plan);
  const placements = new Map<string, number>();
  const desks = await Promise.all(
    plan.desks.map((d) => FakeOrderDesk.start(d, placements, o.clock, entries)),
  );
  const urls = [...engines, ...desks].map((u) => u.url);
  await until(o.clock, () => nodes.every((n) => serves(n, plan, urls)) && granted(nodes));
  const stopUpstreams = async () => {
    await Promise.all([...engines, ...desks].map((u) => u.stop()));
  };
  return {
    ready: readyOf(nodes, plan),
    nodes,
    engines,
    desk: desks[0]!,
    placements,
    drain: async () => {
      await Promise.all(nodes.map((n) => n.drain()));
      for (const u of [...engines, ...desks]) u.kill();
    },
    stop: async () => {
      await stopUpstreams();
      await Promise.all(nodes.map((n) => n.stop()));
    },
  };
}

/** Opens every node on a free port, then lets all begin with the addresses that they got. */
async function startNodes(o: DemoOptions, plan: DemoPlan): Promise<readonly Node[]> {
  const nodes: Node[] = [];
  for (const settings of plan.settings) {
    const opened = await Node.open({
      settings: onLoopback(settings, o.data),
      operatorKey,
      clock: o.clock,
      logger: BunyanLogger.create(settings.node.id, o.logLevel ?? 'warn').part('node'),
      ...(o.data === undefined ? { disk: MemoryDisk.create() } : {}),
      onBroken: (error) => {
        throw error;
      },
    });
    if (opened.isErr()) throw new Error(opened.error.detail);
    nodes.push(opened.value);
  }
  const addresses = nodes.map((n) => n.address);
  for (const node of nodes) node.begin(addresses);
  return nodes;
}

/** The settings of a node as the demo runs it: on free ports, with durable state below `data`. */
function onLoopback(settings: Settings, data: string | undefined): Settings {
  const loopback = '127.0.0.1:0';
  const { id, dataCentre } = settings.node;
  const keeps = data !== undefined && settings.voters.includes(id);
  return {
    ...settings,
    node: {
      id,
      dataCentre,
      peer: loopback,
      entry: loopback,
      operator: loopback,
      ...(keeps ? { data: join(data, id) } : {}),
    },
    metrics: {},
  };
}

/** Submits the first note, unless kept state holds a release already. */
async function submitFirst(node: Node, note: string): Promise<void> {
  if (node.history.state.release.number > 0) return;
  const path = '/operators/v1/releases';
  const submitted = await callOperator(node.operatorUrl, operatorKey, 'POST', path, note);
  if (submitted.isErr() || submitted.value.status !== 200) {
    throw new Error(`the first note was refused: ${JSON.stringify(submitted)}`);
  }
}

function startEngines(
  clock: Clock,
  entries: readonly string[],
  plan: DemoPlan,
): Promise<readonly FakeStage[]> {
  const stages = plan.replicas.flatMap(stagesOf);
  const store = FakeWeightStore.create(clock, loadMs, loadsAtOnce);
  const orders = { store, checksFencing: false };
  return Promise.all(stages.map((s) => FakeStage.start(s, clock, entries, { placement: orders })));
}

/** Settings of the stand-ins that together make one replica. */
function stagesOf(replica: DemoReplica) {
  const { id, cuts, accelerators, ...rest } = replica;
  return cuts.slice(1).map((to, i) => ({
    ...rest,
    id: `${id}${String.fromCharCode('a'.charCodeAt(0) + i)}`,
    from: cuts[i]!,
    to,
    accelerator: accelerators[i] ?? accelerators[0]!,
  }));
}

/** Whether `node` knows all there is at its address of today; kept state names those of past runs. */
function serves(node: Node, plan: DemoPlan, urls: readonly string[]): boolean {
  const { state } = node.history;
  const known = new Set([...state.upstreams.values()].map((u) => u.url));
  return (
    state.nodes.size === plan.settings.length &&
    state.replicas.size === plan.replicas.length &&
    state.upstreams.size === urls.length &&
    urls.every((url) => known.has(url))
  );
}

/** Whether every replica has an owner that no longer waits for an owner of a past run. */
function granted(nodes: readonly Node[]): boolean {
  const replicas = [...nodes[0]!.history.state.replicas.values()];
  return replicas.every((r) => nodes.some((n) => n.mayGrant(r)));
}

function readyOf(nodes: readonly Node[], plan: DemoPlan): Ready {
  const { release } = nodes[0]!.history.state;
  return {
    ready: true,
    entries: nodes.map((n) => n.entryUrl),
    operators: nodes.map((n) => n.operatorUrl),
    keys: plan.keys,
    operatorKey,
    models: [...release.models.keys()],
    services: [...release.services.keys()],
  };
}

async function until(clock: Clock, done: () => boolean): Promise<void> {
  while (!done()) await clock.sleep(lookMs);
}
