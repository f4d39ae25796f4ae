import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FrameDecoder, FrameEncoder } from '../src/tunnelframes.js';

/** The frames of `parts`, and of the end after them. */
async function framesOf(parts: readonly Uint8Array[]): Promise<Buffer> {
  const encoder = FrameEncoder.create();
  for (const part of parts) encoder.write(part);
  encoder.end();
  const frames: Buffer[] = [];
  for await (const frame of encoder) frames.push(frame as Buffer);
  return Buffer.concat(frames);
}

test('frames bring the same bytes and the end, however they are cut on the way', async () => {
  const parts = fc.array(fc.uint8Array({ minLength: 1, maxLength: 300 }), { maxLength: 8 });
  const cuts = fc.array(fc.integer({ min: 1, max: 64 }), { minLength: 1, maxLength: 40 });
  await fc.assert(
    fc.asyncProperty(parts, cuts, async (sent, sizes) => {
      const frames = await framesOf(sent);
      const decoder = FrameDecoder.create();
      const received: Buffer[] = [];
      for (let at = 0, i = 0; at < frames.length; i += 1) {
        assert.equal(decoder.isClosed, false);
        const size = sizes[i % sizes.length]!;
        received.push(...decoder.decode(frames.subarray(at, at + size)));
        at += size;
      }
      assert.ok(decoder.isClosed);
      assert.deepEqual(Buffer.concat(received), Buffer.concat(sent));
    }),
  );
});
