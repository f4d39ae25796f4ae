import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestOf } from '@tanagercart/base';
import { PrefixCacheEstimate } from '../src/prefixes.js';

const [a, b, c] = ['a', 'b', 'c'].map((s) => digestOf(s));

test('a prefix counts up to its first block that is not cached', () => {
  const prefixes = PrefixCacheEstimate.create();
  prefixes.recordPrompt([a!, c!], 0);
  assert.equal(prefixes.cachedFraction([a!, b!, c!, c!], 1), 0.25);
  assert.equal(prefixes.cachedFraction([], 1), 0);
});

test('a prefix that was not used for a minute counts as evicted', () => {
  const prefixes = PrefixCacheEstimate.create();
  prefixes.recordPrompt([a!], 0);
  assert.equal(prefixes.cachedFraction([a!], 60_000), 1);
  assert.equal(prefixes.cachedFraction([a!], 60_001), 0);
});
