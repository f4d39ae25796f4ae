import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, SeededRandom } from '@tanagercart/base';
import { findPath, layerCapacity, planLayers } from '../src/index.js';
import type { Assignment, LayerHost } from '../src/index.js';
import { accelerators, centre, engine, stage, work } from './fixtures.js';

const everyone = [
  ...centre('north', [1, 8, 5]),
  ...centre('middle', [3, 3, 5]),
  ...centre('south', [1, 4, 8]),
];

function carriedOut(
  holders: readonly LayerHost[],
  plan: readonly Assignment[],
): readonly LayerHost[] {
  return holders.map((h) => ({
    ...h,
    layers: plan.find((a) => a.id === h.id)?.layers ?? h.layers,
  }));
}

function hasPath(holders: readonly LayerHost[], within?: string): boolean {
  const stages = holders
    .filter((h) => h.layers && (!within || h.dataCentre === within))
    .map((h) => stage(h.id, h.dataCentre, h.layers!.from, h.layers!.to));
  const dataCentre = DataCentreId('north');
  const random = SeededRandom.create(1);
  return findPath({ engine: engine(), stages, size: work, dataCentre, random }) !== undefined;
}

test('a start from nothing makes a whole chain in each data centre', () => {
  const placed = carriedOut(everyone, planLayers(engine(), everyone));
  for (const name of ['north', 'middle', 'south']) assert.ok(hasPath(placed, name), name);
  assert.deepEqual(planLayers(engine(), placed), []);
});

test('no holder is given more than its memory holds', () => {
  for (const { id, layers } of planLayers(engine(), everyone)) {
    const { accelerator } = everyone.find((h) => h.id === id)!;
    assert.ok((layers.to - layers.from) * 1750 <= accelerator.memoryMb);
    assert.ok(layers.from >= 0 && layers.to <= 80);
  }
  assert.equal(layerCapacity(engine(), { ...accelerators[2]!, memoryMb: 1000 }, 0.8), 0);
});

test('after the loss of any one holder each data centre has a path again', () => {
  const placed = carriedOut(everyone, planLayers(engine(), everyone));
  for (const lost of placed) {
    const left = placed.filter((h) => h.id !== lost.id);
    const mended = carriedOut(left, planLayers(engine(), left));
    assert.ok(hasPath(mended, lost.dataCentre), lost.id);
  }
});

test('what serves stays in place when another arrives', () => {
  const placed = carriedOut(everyone, planLayers(engine(), everyone));
  const [fresh] = centre('fresh', [1]);
  const joined = [...placed, { ...fresh!, dataCentre: DataCentreId('north') }];
  assert.deepEqual(
    planLayers(engine(), joined).map((a) => a.id),
    ['fresh-0-0'],
  );
});

test('the spare that serves other layers soonest is moved', () => {
  const chain = centre('north', [1, 7, 1]).map((h, i) => {
    const size = h.id.startsWith('north-0') ? 15 : 9;
    const from = i === 0 ? 0 : 15 + (i - 1) * 9;
    return {
      ...h,
      layers: { from: Math.min(from, 80 - size), to: Math.min(from, 80 - size) + size },
    };
  });
  const spares = centre('spare', [1, 1, 1]).map((h) => ({
    ...h,
    dataCentre: DataCentreId('north'),
    layers: { from: 0, to: h.id === 'spare-0-0' ? 15 : 6 },
    sequences: h.id === 'spare-2-0' ? 5 : 0,
  }));
  const left = [...chain.filter((h) => h.layers.from !== 24), ...spares];
  const [move] = planLayers(engine(), left);
  assert.equal(move?.id, 'spare-1-0');
});

test('data centres that hold no chain alone make one together', () => {
  const small = [...centre('north', [1, 2, 0]), ...centre('south', [1, 1, 3])];
  assert.ok(hasPath(carriedOut(small, planLayers(engine(), small))));
});

test('what is over backs the largest range of each data centre first', () => {
  const south = centre('south', [1, 4, 8]);
  const placed = carriedOut(south, planLayers(engine(), south));
  const left = placed.filter((h) => h.id !== 'south-0-0');
  assert.ok(hasPath(left, 'south'), 'the loss of the largest leaves a path at once');
});
