/** The demo: nodes with simulated engines and services in one process. */

import { join } from 'node:path';
import { BunyanLogger } from '@tanagercart/base';
import type { Clock, Millis, LogLevel } from '@tanagercart/base';
import { MemoryDisk } from '@tanagercart/log';
import { Node } from '@tanagercart/node';
import type { Settings } from '@tanagercart/settings';
import { FakeStage, FakeOrderDesk, FakeWeightStore } from '@tanagercart/standin';
import { smallPlan } from './demoplan.js';
import type { DemoPlan, DemoReplica } from './demoplan.js';
import { callOperatorApi } from './operator.js';

/** Interval between two checks of whether the demo is serving, in milliseconds. */
const pollIntervalMs = 50;

const operatorKey = 'demo-operator-key';

/** Time for one load from the simulated weight store, in milliseconds. */
const weightLoadMs: Millis = 1000;

/** Number of concurrent loads that the simulated weight store serves at full speed. */
const maxConcurrentLoads = 4;

/** Options of the demo. */
export interface DemoOptions {
  /** What to run; by default a small plan with `nodes` nodes. */
  readonly plan?: DemoPlan;
  /** Number of nodes of the default plan, 2 if undefined. */
  readonly nodes?: number;
  /** Folder for the durable state of the voters; without it, the state is kept in memory. */
  readonly data?: string;
  readonly logLevel?: LogLevel;
  readonly clock: Clock;
}

/** The line that the demo prints, as JSON, once it is serving. */
export interface DemoReady {
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
  readonly ready: DemoReady;
  readonly nodes: readonly Node[];
  readonly engines: readonly FakeStage[];
  readonly desk: FakeOrderDesk;
  /** How often the services placed the order of each idempotency key. */
  readonly placements: ReadonlyMap<string, number>;
  /** Finishes the requests in progress, then stops everything. */
  drain(): Promise<void>;
  /** Stops everything immediately. */
  stop(): Promise<void>;
}

/** Starts the demo and resolves once it is serving. */
export async function startDemo(o: DemoOptions): Promise<Demo> {
  const plan = o.plan ?? smallPlan(o.nodes ?? 2);
  const nodes = await startNodes(o, plan);
  const entries = nodes.map((n) => n.entryUrl);
  await pollUntil(o.clock, () => nodes.every((n) => n.ready));
  await submitFirstNote(nodes[0]!, plan.note);
  const engines = await startEngines(o.clock, entries, plan);
  const placements = new Map<string, number>();
  const desks = await Promise.all(
    plan.desks.map((d) => FakeOrderDesk.start(d, placements, o.clock, entries)),
  );
  const urls = [...engines, ...desks].map((u) => u.url);
  await pollUntil(
    o.clock,
    () => nodes.every((n) => isServing(n, plan, urls)) && canGrantAll(nodes),
  );
  const stopUpstreams = async () => {
    await Promise.all([...engines, ...desks].map((u) => u.stop()));
  };
  return {
    ready: readyMessage(nodes, plan),
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

/** Opens every node on free ports, then lets all join the cluster with each other's addresses. */
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
  for (const node of nodes) node.joinCluster(addresses);
  return nodes;
}

/** Changes the settings of a node to free ports on the loopback and durable state below `data`. */
function onLoopback(settings: Settings, data: string | undefined): Settings {
  const loopback = '127.0.0.1:0';
  const { id, dataCentre } = settings.node;
  const isDurable = data !== undefined && settings.voters.includes(id);
  return {
    ...settings,
    node: {
      id,
      dataCentre,
      peer: loopback,
      entry: loopback,
      operator: loopback,
      ...(isDurable ? { data: join(data, id) } : {}),
    },
    metrics: {},
  };
}

/** Submits the first release note, unless the state of an earlier run contains a release. */
async function submitFirstNote(node: Node, note: string): Promise<void> {
  if (node.history.state.release.number > 0) return;
  const path = '/operators/v1/releases';
  const submitted = await callOperatorApi(node.operatorUrl, operatorKey, 'POST', path, note);
  if (submitted.isErr() || submitted.value.status !== 200) {
    throw new Error(`the first release note was refused: ${JSON.stringify(submitted)}`);
  }
}

function startEngines(
  clock: Clock,
  entries: readonly string[],
  plan: DemoPlan,
): Promise<readonly FakeStage[]> {
  const stages = plan.replicas.flatMap(stagesOf);
  const store = FakeWeightStore.create(clock, weightLoadMs, maxConcurrentLoads);
  const orders = { store, checksFencing: false };
  return Promise.all(stages.map((s) => FakeStage.start(s, clock, entries, { placement: orders })));
}

/** Settings of the simulated engines that are the stages of one replica. */
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

/**
 * Whether `node` knows all nodes and replicas of the plan, and its upstreams at the addresses in
 * `urls`. After a restart, the state still contains the upstream addresses of the earlier run.
 */
function isServing(node: Node, plan: DemoPlan, urls: readonly string[]): boolean {
  const { state } = node.history;
  const known = new Set([...state.upstreams.values()].map((u) => u.url));
  return (
    state.nodes.size === plan.settings.length &&
    state.replicas.size === plan.replicas.length &&
    state.upstreams.size === urls.length &&
    urls.every((url) => known.has(url))
  );
}

/** Whether every replica has an owner that need not wait for the owner of an earlier run. */
function canGrantAll(nodes: readonly Node[]): boolean {
  const replicas = [...nodes[0]!.history.state.replicas.values()];
  return replicas.every((r) => nodes.some((n) => n.canGrant(r)));
}

function readyMessage(nodes: readonly Node[], plan: DemoPlan): DemoReady {
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

async function pollUntil(clock: Clock, done: () => boolean): Promise<void> {
  while (!done()) await clock.sleep(pollIntervalMs);
}
