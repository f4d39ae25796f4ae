/**
 * Bench `poison`: a poison request crashes each upstream that runs it. Measures how many upstreams
 * are lost if its caller sends it many times, in different ways.
 */

import { DispatchFleet, generationRequest } from './dispatchfleet.js';
import type { Figure, Report } from './report.js';

const nodes = 8;
const replicas = 40;
const copies = 32;

/** Pause between copies that are sent one shortly after another, in milliseconds. */
const staggerMs = 30;

/** Time for which a fleet runs after the last copy is sent, in milliseconds. */
const runMs = 60_000;

/** Target: limit on the upstreams that one poison request crashes. */
const maxLostUpstreams = 2;

const prompt = 'poison';

/** Measures each way of repeating the request, and a baseline in which gates clear everything. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [
    lossFigure('at once, through every node', await sendAtOnce(seed, false)),
    lossFigure('slightly late', await sendStaggered(seed)),
    lossFigure('again after each refusal', await sendAfterRefusals(seed)),
    lossFigure('again after a restart of all nodes', await sendAfterRestart(seed)),
  ];
  const value = await sendAtOnce(seed, true);
  figures.push({ name: 'at once, without gates (baseline)', value, unit: 'upstreams' });
  return { bench: 'poison', seed, figures };
}

function lossFigure(name: string, value: number): Figure {
  return { name, value, unit: 'upstreams', target: { kind: 'at-most', value: maxLostUpstreams } };
}

/** Creates a fleet whose upstreams crash on the poison request. */
function createFleet(
  seed: number,
  overrides: { bypassGates?: boolean; snapshot?: Uint8Array } = {},
): DispatchFleet {
  const crashes = (order: { readonly prompt: string }) => order.prompt === prompt;
  return DispatchFleet.create({ seed, nodes, replicas, slots: 8, crashes, ...overrides });
}

const requestCopy = (i: number) => generationRequest(`q${i}`, { prompt });

/** Upstreams lost if all copies are sent at once, spread over all nodes. */
async function sendAtOnce(seed: number, bypassGates: boolean): Promise<number> {
  const fleet = createFleet(seed, { bypassGates });
  const done = Array.from({ length: copies }, (_, i) => fleet.send(i, requestCopy(i)));
  await fleet.clock.advance(runMs);
  await Promise.all(done);
  return fleet.dead.size;
}

/** Upstreams lost if the copies are sent `staggerMs` apart. */
async function sendStaggered(seed: number): Promise<number> {
  const fleet = createFleet(seed);
  const done: Promise<unknown>[] = [];
  for (let i = 0; i < copies; i += 1) {
    done.push(fleet.send(i, requestCopy(i)));
    await fleet.clock.advance(staggerMs);
  }
  await fleet.clock.advance(runMs);
  await Promise.all(done);
  return fleet.dead.size;
}

/** Upstreams lost if each copy is sent after the previous one has ended. */
async function sendAfterRefusals(seed: number, fleet = createFleet(seed)): Promise<number> {
  for (let i = 0; i < copies; i += 1) {
    const done = fleet.send(i, requestCopy(i));
    await fleet.clock.advance(2000);
    await done;
  }
  return fleet.dead.size;
}

/**
 * Upstreams lost if all nodes restart while the first copy runs, and the rest is sent to the new
 * nodes one by one. The new nodes restore the shared state as of the restart.
 */
async function sendAfterRestart(seed: number): Promise<number> {
  const first = createFleet(seed);
  const done = first.send(0, requestCopy(0));
  await first.clock.advance(50);
  const second = createFleet(seed, { snapshot: first.state.snapshot() });
  await first.clock.advance(runMs);
  await done;
  await second.clock.advance(runMs);
  const before = Math.min(first.dead.size, 1);
  return before + (await sendAfterRefusals(seed, second));
}
