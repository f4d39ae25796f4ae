import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestOf } from '@tanagercart/base';
import { Prefixes } from '../src/prefixes.js';

const [a, b, c] = ['a', 'b', 'c'].map((s) => digestOf(s));

test('a prefix counts up to its first block that is not cached', () => {
  const prefixes = Prefixes.create();
  prefixes.sent([a!, c!], 0);
  assert.equal(prefixes.share([a!, b!, c!, c!], 1), 0.25);
  assert.equal(prefixes.share([], 1), 0);
});

test('a prefix that was not used for a minute counts as evicted', () => {
  const prefixes = Prefixes.create();
  prefixes.sent([a!], 0);
  assert.equal(prefixes.share([a!], 60_000), 1);
  assert.equal(prefixes.share([a!], 60_001), 0);
});
