/**
 * Frames on a TCP connection: the length as an unsigned 32-bit big-endian integer, followed by that
 * many bytes of CBOR.
 */

import { Encoder } from 'cbor-x';

/** Largest accepted frame, in bytes. Bounds the memory that a peer can make this node buffer. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** Size of the length field, in bytes. */
const lengthBytes = 4;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a value as CBOR. */
export function encode(value: unknown): Uint8Array {
  return codec.encode(value);
}

/** Decodes CBOR; throws on malformed input. */
export function decode<T>(bytes: Uint8Array): T {
  return codec.decode(bytes) as T;
}

/** Encodes a value as one frame, including its length. */
export function encodeFrame(value: unknown): Buffer {
  const body = codec.encode(value);
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return frame;
}

/** Yields the decoded frames of a byte stream; throws on an oversized or malformed frame. */
export async function* decodeFrames<T>(chunks: AsyncIterable<Buffer>): AsyncGenerator<T> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    for (;;) {
      if (buffered.length < lengthBytes) break;
      const size = buffered.readUInt32BE(0);
      if (size > maxFrameBytes) {
        throw new RangeError(`frame of ${size} bytes exceeds the limit of ${maxFrameBytes} bytes`);
      }
      if (buffered.length < lengthBytes + size) break;
      yield decode<T>(buffered.subarray(lengthBytes, lengthBytes + size));
      buffered = buffered.subarray(lengthBytes + size);
    }
  }
}
