import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId } from '@tanagercart/base';
import { activationTransferMs, crossingsOf, findPath, mayCross } from '../src/index.js';
import type { LinkDemand, Stage } from '../src/index.js';
import { engine, requestSize, stage } from './fixtures.js';

function demandOf(overrides: Partial<LinkDemand>): LinkDemand {
  const rest = { transferMs: 20, targetLeftMs: 690, entryCount: 1, draw: 0.5 };
  return { queueMs: 0, ...rest, ...overrides };
}

/** Hops between data centres of the path found behind a queue on the link. */
function crossings(stages: readonly Stage[], linkQueueMs: number) {
  const dataCentre = DataCentreId('north');
  const random = { next: () => 0 };
  const query = { engine: engine(), stages, size: requestSize, dataCentre, linkQueueMs, random };
  const path = findPath(query);
  return path && crossingsOf(path);
}

test('a hop costs the same on an idle link as behind a few transfers, and later what it waits for', () => {
  const idleMs = activationTransferMs(engine(), requestSize, 0);
  assert.equal(activationTransferMs(engine(), requestSize, (idleMs * 7) / 8), idleMs);
  const laterMs = activationTransferMs(engine(), requestSize, idleMs);
  assert.ok(Math.abs(laterMs - (idleMs * 9) / 8) < 1e-6, `${laterMs}`);
});

test('a path crosses a busy link only where it saves more than its queue, and a closed one never', () => {
  const south = stage('y', 'south', 40, 80);
  const slow = { ...stage('b', 'north', 40, 80), slowness: 3 };
  const stages = [stage('a', 'north', 0, 40), slow, south];
  assert.deepEqual(
    [0, 300, 3000, Infinity].map((queueMs) => crossings(stages, queueMs)),
    [1, 1, 0, 0],
  );
  assert.equal(crossings([stages[0]!, south], Infinity), undefined);
  // The request itself crosses to its first stage; that transfers no activations.
  assert.equal(crossings([stage('x', 'south', 0, 40), south], Infinity), 0);
});

test('an idle link is open to a request whose target has passed, and a full one to none', () => {
  assert.ok(mayCross(demandOf({ targetLeftMs: -100 })));
  assert.ok(!mayCross(demandOf({ targetLeftMs: -100, queueMs: 1 })));
  assert.ok(mayCross(demandOf({ queueMs: 180 })));
  assert.ok(!mayCross(demandOf({ queueMs: 230 })));
});

test('where the rest of the queue is less than a transfer for each entry, some of them cross', () => {
  const crossing = Array.from({ length: 100 }, (_, i) =>
    mayCross(demandOf({ queueMs: 160, entryCount: 10, draw: i / 100 })),
  );
  assert.equal(crossing.filter(Boolean).length, 25);
});
