import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { ByteBlocks } from '../src/index.js';

test('blocks return the bytes that were added, whatever the size of the chunks', () => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 20_000, size: 'max' }), { maxLength: 30 });
  fc.assert(
    fc.property(chunks, fc.nat(30), (added, takeAfter) => {
      const blocks = ByteBlocks.create();
      let expected = Buffer.alloc(0);
      added.forEach((chunk, i) => {
        blocks.append(chunk);
        expected = Buffer.concat([expected, chunk]);
        assert.equal(blocks.length, expected.length);
        if (i !== takeAfter) return;
        assert.deepEqual(blocks.take(), expected);
        expected = Buffer.alloc(0);
      });
      assert.deepEqual(blocks.take(), expected);
      assert.equal(blocks.length, 0);
    }),
  );
});
