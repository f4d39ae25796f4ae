/** Random schedules of faults for the whole path, and the run of one of them. */

import { randomUUID } from 'node:crypto';
import fc from 'fast-check';
import { AccountId, NodeId, RequestId, invariant } from '@tanagercart/base';
import { Simulation } from './simulation.js';

const nodeCount = 5;
const replicas = 4;
const callers = 12;

/** Steps of one schedule at most. */
const maxSteps = 14;

/** Time in which a repaired deployment must serve every caller again, in milliseconds. */
const recoveryMs = 30_000;

const node = fc.nat(nodeCount - 1);
const stage = fc.nat(replicas * 2 - 1);
const key = fc.nat(3);
const author = fc.constantFrom('ann', 'bea');

/** One step of a schedule. */
type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'kill-node' | 'start-node' | 'isolate'; readonly node: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'loss'; readonly loss: number }
  | { readonly kind: 'kill-stage' | 'revive-stage' | 'slow' | 'fast'; readonly stage: number }
  | { readonly kind: 'order'; readonly key: number }
  | { readonly kind: 'note'; readonly node: number; readonly author: string };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 1500 }) }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('kill-node'), node }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('start-node'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('isolate'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal') }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('loss'), loss: fc.constantFrom(0, 0.02, 0.2) }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('kill-stage'), stage }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('revive-stage'), stage }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slow'), stage }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('fast'), stage }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('order'), key }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('note'), node, author }) },
);

/** A schedule: the seed of the network, and the steps. */
export interface WholeSchedule {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** Any schedule. */
export const wholeSchedules: fc.Arbitrary<WholeSchedule> = fc.record({
  seed: fc.nat(),
  steps: fc.array(step, { minLength: 3, maxLength: maxSteps, size: 'max' }),
});

/** What one run has come through. */
export interface WholeOutcome {
  readonly answers: number;
  readonly orders: number;
  /** Numbers under which a note was accepted. */
  readonly notes: number;
  /** Most sequences that ran on one stage at once. */
  readonly mostRunning: number;
}

/** Copies of one keyed order that were sent and how they were answered. */
interface Sent {
  open: number;
  maybePlaced: boolean;
  placed: boolean;
}

/** Runs one schedule; throws where an invariant is broken or a caller is not served again. */
export async function runWhole({ seed, steps }: WholeSchedule): Promise<WholeOutcome> {
  const w = await Simulation.start(seed, nodeCount, replicas);
  w.addCallers(callers);
  const sent = new Map<string, Sent>();
  await w.clock.advance(500);
  for (const s of steps) await take(w, s, sent);
  repair(w);
  await w.clock.advance(recoveryMs / 2);
  const before = w.callers.map((c) => c.prompt);
  await w.clock.advance(recoveryMs / 2);
  w.callers.forEach((c, i) => {
    invariant(c.prompt !== before[i], `caller ${i} is served again once all is repaired`);
  });
  for (const [k, s] of sent) checkOrder(w, k, s);
  const { answers } = w;
  const { mostRunning } = w.world;
  await w.stop();
  if (w.taskError) throw w.taskError as Error;
  return { answers, orders: sent.size, notes: w.accepted.size, mostRunning };
}

async function take(w: Simulation, s: Step, sent: Map<string, Sent>): Promise<void> {
  switch (s.kind) {
    case 'wait':
      await w.clock.advance(s.ms);
      break;
    case 'kill-node':
      w.killNode(nameOf(s.node));
      break;
    case 'start-node':
      startAgain(w, nameOf(s.node));
      break;
    case 'isolate':
      isolate(w, nameOf(s.node));
      break;
    case 'heal':
      w.net.heal();
      break;
    case 'loss':
      w.net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: s.loss });
      break;
    case 'kill-stage':
      w.killUpstream(stageOf(s.stage));
      break;
    case 'revive-stage':
      w.restartStage(stageOf(s.stage));
      break;
    case 'slow':
      w.world.upstreams.get(stageOf(s.stage))!.slow = 100;
      break;
    case 'fast':
      w.world.upstreams.get(stageOf(s.stage))!.slow = 1;
      break;
    case 'order':
      w.trackTask(order(w, `k${s.key}`, sent));
      break;
    case 'note':
      submit(w, nameOf(s.node), s.author);
      break;
    default:
      s satisfies never;
  }
}

/** Submits a note through a node that runs, cut off or not. */
function submit(w: Simulation, name: string, by: string): void {
  const entry = w.nodes.get(name);
  if (entry && !entry.life.signal.aborted) w.trackTask(w.submit(entry, by));
}

/** Sends a keyed order, perhaps again, and checks what its answer claims. */
async function order(w: Simulation, k: string, all: Map<string, Sent>): Promise<void> {
  const entry = w.pickReadyNode();
  if (!entry) return;
  const sent = all.get(k) ?? { open: 0, maybePlaced: false, placed: false };
  all.set(k, sent);
  sent.open += 1;
  const call = {
    request: RequestId(randomUUID()),
    account: AccountId('grower'),
    service: 'desk',
    path: '/',
    method: 'POST',
    headers: {},
    body: Buffer.from(k),
  } as const;
  const answer = await entry.orders.placeOnce(call, k);
  sent.open -= 1;
  // A process that was killed says nothing to its caller.
  if (entry.life.signal.aborted) sent.maybePlaced = true;
  else if (answer.isOk()) sent.placed = true;
  else if (answer.error.run === 'unknown') sent.maybePlaced = true;
  checkOrder(w, k, sent);
}

function checkOrder(w: Simulation, k: string, { open, maybePlaced, placed }: Sent): void {
  const times = w.world.placed.get(k) ?? 0;
  invariant(times <= 1, 'an order is placed at most once');
  invariant(!placed || times === 1, 'an order that was confirmed was placed');
  const allNotRun = open === 0 && !maybePlaced && !placed;
  invariant(!allNotRun || times === 0, 'an order of which every copy was not run was not placed');
}

function isolate(w: Simulation, name: string): void {
  for (const other of w.nodes.keys()) {
    if (other === name) continue;
    w.net.cut(NodeId(name), NodeId(other));
    w.net.cut(NodeId(other), NodeId(name));
  }
}

function startAgain(w: Simulation, name: string): void {
  if (w.nodes.get(name)?.life.signal.aborted) w.startNode(name);
}

function repair(w: Simulation): void {
  w.net.heal();
  w.net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: 0 });
  for (let i = 0; i < nodeCount; i += 1) startAgain(w, nameOf(i));
  for (let i = 0; i < replicas * 2; i += 1) {
    w.restartStage(stageOf(i));
    w.world.upstreams.get(stageOf(i))!.slow = 1;
  }
}

function nameOf(i: number): string {
  return `n${i + 1}`;
}

function stageOf(i: number): string {
  return `s${Math.floor(i / 2)}${i % 2}`;
}
