import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestOf } from '@tanagercart/base';
import { PrefixCacheEstimate } from '../src/prefixes.js';

const [a, b, c] = ['a', 'b', 'c'].map((s) => digestOf(s));

test('prefixes after the first one that is not cached do not count as cached', () => {
  const cache = PrefixCacheEstimate.create();
  cache.recordPrompt([a!, c!], 0);
  assert.equal(cache.cachedFraction([a!, b!, c!, c!], 1), 0.25);
  assert.equal(cache.cachedFraction([], 1), 0);
});

test('a prefix that has not been used for more than a minute does not count as cached', () => {
  const cache = PrefixCacheEstimate.create();
  cache.recordPrompt([a!], 0);
  assert.equal(cache.cachedFraction([a!], 60_000), 1);
  assert.equal(cache.cachedFraction([a!], 60_001), 0);
});
