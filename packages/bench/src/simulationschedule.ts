/** Random schedules of faults and requests for a simulated deployment, and their execution. */

import { randomUUID } from 'node:crypto';
import fc from 'fast-check';
import { AccountId, NodeId, RequestId, invariant } from '@tanagercart/base';
import { Simulation } from './simulation.js';

const nodeCount = 5;
const replicaCount = 4;
const callerCount = 12;

/** Maximum number of steps of a schedule. */
const maxSteps = 14;

/** Virtual time within which a repaired deployment must serve every caller, in milliseconds. */
const recoveryMs = 30_000;

const anyNode = fc.nat(nodeCount - 1);
const anyStage = fc.nat(replicaCount * 2 - 1);
const anyKey = fc.nat(3);
const anyAuthor = fc.constantFrom('ann', 'bea');

/** One step of a schedule. Failed runs print the steps as JSON. */
type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'kill-node' | 'start-node' | 'isolate'; readonly node: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'loss'; readonly loss: number }
  | { readonly kind: 'kill-stage' | 'revive-stage' | 'slow' | 'fast'; readonly stage: number }
  | { readonly kind: 'order'; readonly key: number }
  | { readonly kind: 'note'; readonly node: number; readonly author: string };

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 1500 }) }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('kill-node'), node: anyNode }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('start-node'), node: anyNode }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('isolate'), node: anyNode }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal') }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('loss'), loss: fc.constantFrom(0, 0.02, 0.2) }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('kill-stage'), stage: anyStage }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('revive-stage'), stage: anyStage }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slow'), stage: anyStage }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('fast'), stage: anyStage }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('order'), key: anyKey }) },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('note'), node: anyNode, author: anyAuthor }),
  },
);

/** A schedule: the steps, and the seed of the network and of random choices. */
export interface SimulationSchedule {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** Generates schedules. */
export const simulationSchedules: fc.Arbitrary<SimulationSchedule> = fc.record({
  seed: fc.nat(),
  steps: fc.array(anyStep, { minLength: 3, maxLength: maxSteps, size: 'max' }),
});

/** What happened in one run. */
export interface SimulationOutcome {
  readonly answers: number;
  readonly orders: number;
  /** Number of accepted release notes. */
  readonly notes: number;
  /** Maximum number of sequences that one stage ran at once. */
  readonly peakRunning: number;
}

/** The results of all copies of an order that were sent with the same idempotency key. */
interface OrderCopies {
  /** Number of copies without an answer. */
  open: number;
  /** Whether the result of a copy is unknown. */
  maybePlaced: boolean;
  /** Whether a copy was confirmed. */
  placed: boolean;
}

/** Runs one schedule. Throws if an invariant is violated or a caller is not served again. */
export async function runSimulation({
  seed,
  steps,
}: SimulationSchedule): Promise<SimulationOutcome> {
  const simulation = await Simulation.start(seed, nodeCount, replicaCount);
  simulation.addCallers(callerCount);
  const orders = new Map<string, OrderCopies>();
  await simulation.clock.advance(500);
  for (const step of steps) await runStep(simulation, step, orders);
  repair(simulation);
  await simulation.clock.advance(recoveryMs / 2);
  const before = simulation.callers.map((c) => c.prompt);
  await simulation.clock.advance(recoveryMs / 2);
  simulation.callers.forEach((c, i) => {
    invariant(c.prompt !== before[i], `caller ${i} is served again after the repair`);
  });
  for (const [orderKey, copies] of orders) checkOrder(simulation, orderKey, copies);
  const { answers } = simulation;
  const { peakRunning } = simulation.world;
  await simulation.stop();
  if (simulation.taskError) throw simulation.taskError as Error;
  return { answers, orders: orders.size, notes: simulation.acceptedDigests.size, peakRunning };
}

async function runStep(
  simulation: Simulation,
  step: Step,
  orders: Map<string, OrderCopies>,
): Promise<void> {
  switch (step.kind) {
    case 'wait':
      await simulation.clock.advance(step.ms);
      break;
    case 'kill-node':
      simulation.killNode(nodeName(step.node));
      break;
    case 'start-node':
      restartNode(simulation, nodeName(step.node));
      break;
    case 'isolate':
      isolate(simulation, nodeName(step.node));
      break;
    case 'heal':
      simulation.net.heal();
      break;
    case 'loss':
      simulation.net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: step.loss });
      break;
    case 'kill-stage':
      simulation.killUpstream(stageId(step.stage));
      break;
    case 'revive-stage':
      simulation.restartStage(stageId(step.stage));
      break;
    case 'slow':
      simulation.world.upstreams.get(stageId(step.stage))!.slowdown = 100;
      break;
    case 'fast':
      simulation.world.upstreams.get(stageId(step.stage))!.slowdown = 1;
      break;
    case 'order':
      simulation.trackTask(placeOrder(simulation, `k${step.key}`, orders));
      break;
    case 'note':
      submitNote(simulation, nodeName(step.node), step.author);
      break;
    default:
      step satisfies never;
  }
}

/** Submits a release note through a node if its process runs, even if the node is isolated. */
function submitNote(simulation: Simulation, id: string, author: string): void {
  const node = simulation.nodes.get(id);
  if (node && !node.life.signal.aborted) simulation.trackTask(simulation.submit(node, author));
}

/** Sends an order, which may be a copy of an earlier one, and checks the claim of its answer. */
async function placeOrder(
  simulation: Simulation,
  orderKey: string,
  orders: Map<string, OrderCopies>,
): Promise<void> {
  const node = simulation.pickReadyNode();
  if (!node) return;
  const copies = orders.get(orderKey) ?? { open: 0, maybePlaced: false, placed: false };
  orders.set(orderKey, copies);
  copies.open += 1;
  const call = {
    request: RequestId(randomUUID()),
    account: AccountId('grower'),
    service: 'desk',
    path: '/',
    method: 'POST',
    headers: {},
    body: Buffer.from(orderKey),
  } as const;
  const answer = await node.orders.placeOnce(call, orderKey);
  copies.open -= 1;
  // The caller of a killed process gets no answer.
  if (node.life.signal.aborted) copies.maybePlaced = true;
  else if (answer.isOk()) copies.placed = true;
  else if (answer.error.run === 'unknown') copies.maybePlaced = true;
  checkOrder(simulation, orderKey, copies);
}

/** Checks the answers to the copies of an order against how often it was placed. */
function checkOrder(
  simulation: Simulation,
  orderKey: string,
  { open, maybePlaced, placed }: OrderCopies,
): void {
  const timesPlaced = simulation.world.placementCounts.get(orderKey) ?? 0;
  invariant(timesPlaced <= 1, 'an order is placed at most once');
  invariant(!placed || timesPlaced === 1, 'an order that was confirmed was placed');
  const allNotRun = open === 0 && !maybePlaced && !placed;
  invariant(!allNotRun || timesPlaced === 0, 'an order is not placed if no copy was run');
}

/** Cuts the links between a node and all others. */
function isolate(simulation: Simulation, id: string): void {
  for (const other of simulation.nodes.keys()) {
    if (other === id) continue;
    simulation.net.cut(NodeId(id), NodeId(other));
    simulation.net.cut(NodeId(other), NodeId(id));
  }
}

function restartNode(simulation: Simulation, id: string): void {
  if (simulation.nodes.get(id)?.life.signal.aborted) simulation.startNode(id);
}

/** Undoes all faults. */
function repair(simulation: Simulation): void {
  simulation.net.heal();
  simulation.net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: 0 });
  for (let i = 0; i < nodeCount; i += 1) restartNode(simulation, nodeName(i));
  for (let i = 0; i < replicaCount * 2; i += 1) {
    simulation.restartStage(stageId(i));
    simulation.world.upstreams.get(stageId(i))!.slowdown = 1;
  }
}

function nodeName(i: number): string {
  return `n${i + 1}`;
}

function stageId(i: number): string {
  return `s${Math.floor(i / 2)}${i % 2}`;
}
