import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { DataCentreId, SeededRandom } from '@tanagercart/base';
import { findPath, isComplete } from '../src/index.js';
import type { Stage } from '../src/index.js';
import { engine, requestSize, stage } from './fixtures.js';
import { findPathPlainly } from './plainsearch.js';

const north = DataCentreId('north');

/** The path of a request that is sent from the data centre `north`. */
function find(stages: readonly Stage[]) {
  const random = SeededRandom.create(1);
  return findPath({ engine: engine(), stages, size: requestSize, dataCentre: north, random });
}

/** The segments of that path as text, such as "a 0-30". */
function segmentsOf(stages: readonly Stage[]) {
  return find(stages)?.map((p) => `${p.stage.id} ${p.layers.from}-${p.layers.to}`);
}

test('a path runs every layer once and in order', () => {
  assert.deepEqual(segmentsOf([stage('b', 'north', 30, 80), stage('a', 'north', 0, 30)]), [
    'a 0-30',
    'b 30-80',
  ]);
});

test('a path may use a part of the range that a stage holds', () => {
  assert.deepEqual(
    segmentsOf([stage('a', 'north', 0, 50), stage('b', 'north', 40, 80)])?.length,
    2,
  );
});

test('there is no path if no stage holds some layer', () => {
  assert.equal(find([stage('a', 'north', 0, 30), stage('b', 'north', 31, 80)]), undefined);
});

test('a path uses another data centre only for layers that are missing in its own', () => {
  const far = [stage('x', 'south', 0, 40), stage('y', 'south', 40, 80)];
  const near = [stage('a', 'north', 0, 40), stage('b', 'north', 40, 80)];
  assert.deepEqual(segmentsOf([...far, ...near]), ['a 0-40', 'b 40-80']);
  assert.deepEqual(segmentsOf([far[1]!, near[0]!]), ['a 0-40', 'y 40-80']);
});

test('a path starts in another data centre rather than crossing between stages', () => {
  const far = [stage('x', 'south', 0, 40), stage('y', 'south', 40, 80)];
  assert.deepEqual(segmentsOf([...far, stage('a', 'north', 0, 40)]), ['x 0-40', 'y 40-80']);
});

test('a path uses slow stages and stages with full memory only where there is no other', () => {
  const slow = { ...stage('slow', 'north', 0, 40), slowness: 8 };
  const full = { ...stage('full', 'north', 40, 80), tokenLayersUsed: 1e6 };
  const stages = [slow, full, stage('a', 'north', 0, 40), stage('b', 'north', 40, 80)];
  assert.deepEqual(segmentsOf(stages), ['a 0-40', 'b 40-80']);
  assert.deepEqual(segmentsOf([slow, full]), ['slow 0-40', 'full 40-80']);
});

test('every path that is found is complete, whatever the ranges', () => {
  const ranges = fc.array(fc.tuple(fc.nat(79), fc.integer({ min: 1, max: 40 }), fc.nat(2)), {
    maxLength: 40,
  });
  fc.assert(
    fc.property(ranges, (drawn) => {
      const stages = drawn.map(([from, size, centre], i) =>
        stage(`s${i}`, `centre${centre}`, from, Math.min(80, from + size)),
      );
      const path = find(stages);
      if (path) assert.ok(isComplete(path, 80));
    }),
  );
});

/** Draws a stage; equal ranges and costs are frequent. */
const drawnStage = fc
  .record({
    centre: fc.constantFrom('north', 'south', 'east'),
    from: fc.constantFrom(0, 8, 12, 20, 28, 40, 52, 60),
    length: fc.constantFrom(8, 12, 20, 40, 90),
    sequences: fc.nat({ max: 3 }),
    entered: fc.constantFrom(0, 0, 133, 134),
    entryWaitMs: fc.constantFrom(0, 0, 0, 40, Infinity),
    tokenLayersUsed: fc.constantFrom(0, 0, 6e5, 1e6),
    slowness: fc.constantFrom(1, 1, 2.5),
  })
  .map(({ centre, from, length, ...load }) => (id: string): Stage => ({
    ...stage(id, centre, from, Math.min(from + length, 80)),
    ...load,
  }));

test('the path found is that of the plain search, also where paths cost the same', () => {
  const delays = [{ from: north, to: DataCentreId('south'), ms: 3 }];
  let found = 0;
  fc.assert(
    fc.property(
      fc.array(drawnStage, { minLength: 5, maxLength: 60 }),
      fc.nat(),
      fc.boolean(),
      fc.boolean(),
      fc.nat({ max: 2000 }),
      fc.constantFrom(0, 500, Infinity),
      (makers, seed, isEven, isRestricted, answerTokens, linkQueueMs) => {
        const stages = makers.map((make, i) => make(`s${i}`));
        const first = new Set(stages.filter((_, i) => i % 2 === 0).map((s) => s.id));
        const query = () => ({
          engine: engine({ delays }),
          stages,
          size: { promptTokens: 700, answerTokens },
          dataCentre: DataCentreId(['north', 'west'][seed % 2]!),
          linkQueueMs,
          random: isEven ? { next: () => 0 } : SeededRandom.create(seed),
          ...(isRestricted ? { firstStageIds: first } : {}),
        });
        const path = findPath(query());
        assert.deepEqual(path, findPathPlainly(query()));
        if (path) found += 1;
      },
    ),
    { numRuns: 2000, seed: 7 },
  );
  assert.ok(found > 400, `${found} paths`);
});
