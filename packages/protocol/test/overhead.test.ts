import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { Overhead, maxOverheadBytes } from '../src/index.js';

/** Records parsed bytes and content that arrive in steps, each as `[overhead, content]`. */
function overheadAfter(steps: readonly (readonly [number, number])[]) {
  const overhead = Overhead.create();
  let [parsed, content] = [0, 0];
  for (const [extra, added] of steps) {
    parsed += extra + added;
    content += added;
    overhead.record(parsed, content);
  }
  return overhead;
}

test('a response of any length has no more overhead than it may have', () => {
  const steps = fc.array(fc.tuple(fc.nat(160), fc.integer({ min: 10, max: 70_000 })));
  fc.assert(
    fc.property(steps, (parts) => {
      assert.ok(!overheadAfter([[16_384, 0], ...parts]).isExceeded);
    }),
  );
});

test('bytes without content are too many whatever content came before', () => {
  fc.assert(
    fc.property(fc.nat(10_000_000), fc.integer({ min: 1, max: 9000 }), (content, step) => {
      const count = Math.floor(maxOverheadBytes / step);
      const within = Array.from({ length: count }, () => [step, 0] as const);
      assert.ok(!overheadAfter([[0, content], ...within]).isExceeded);
      assert.ok(overheadAfter([[0, content], ...within, [step, 0]]).isExceeded);
    }),
  );
});

test('interim responses are too many long before their bytes are', () => {
  const overhead = Overhead.create();
  for (let i = 0; i < 60; i += 1) overhead.recordInterim();
  assert.ok(!overhead.isExceeded);
  for (let i = 0; i < 10; i += 1) overhead.recordInterim();
  assert.ok(overhead.isExceeded);
});

test('bytes are parsed a part at a time unless they bring content', () => {
  const overhead = Overhead.create();
  assert.ok(overhead.granted < maxOverheadBytes);
  overhead.record(2000, 1);
  assert.equal(overhead.granted, Infinity);
  overhead.record(2100, 1);
  assert.ok(overhead.granted < maxOverheadBytes);
});
