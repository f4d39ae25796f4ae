import assert from 'node:assert/strict';
import { test } from 'node:test';
import { figuresOf, fitLine } from '../src/line.js';

const points = (...values: number[]) => values.map((value, size) => ({ size, value }));

test('points on a line are fitted with that line', () => {
  assert.deepEqual(fitLine(points(5, 8, 11, 14)), { slope: 3, intercept: 5 });
});

test('points off a line are fitted with the least-squares line', () => {
  const { slope, intercept } = fitLine(points(0, 3, 0));
  assert.deepEqual({ slope, intercept }, { slope: 0, intercept: 1 });
});

test('the figures of a series are its points, its slope and its intercept', () => {
  const figures = figuresOf({ name: 'heap', per: 'accounts', unit: 'B', points: points(1, 3) });
  assert.deepEqual(
    figures.map((f) => [f.name, f.value]),
    [
      ['heap at 0 accounts', 1],
      ['heap at 1 accounts', 3],
      ['heap: slope over accounts', 2],
      ['heap: intercept', 1],
    ],
  );
});
