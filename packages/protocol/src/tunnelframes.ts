/**
 * Frames of what a tunnel brings from its target, so that the end of the target's bytes differs from
 * the end of the tunnel: each part follows its length (4 bytes, big-endian), and a length of 0 says
 * that the target has closed its side.
 */

import { Transform } from 'node:stream';
import type { TransformCallback } from 'node:stream';

const lengthBytes = 4;

/** Puts the bytes of a target into frames; the end of its input is that of the target. */
export class FrameEncoder extends Transform {
  private isCut = false;

  static create(): FrameEncoder {
    return new FrameEncoder();
  }

  /** Ends without the end of the target. */
  cut(): void {
    this.isCut = true;
    this.end();
  }

  override _transform(chunk: Buffer, _: BufferEncoding, done: TransformCallback): void {
    this.push(encodeLength(chunk.length));
    this.push(chunk);
    done();
  }

  override _flush(done: TransformCallback): void {
    if (!this.isCut) this.push(encodeLength(0));
    done();
  }
}

/** Takes the bytes of a target out of frames. */
export class FrameDecoder {
  /** Whether the target has closed its side. */
  isClosed = false;
  private length = Buffer.alloc(0);
  /** Bytes of the present part that are yet to come. */
  private left = 0;

  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** Returns the bytes of the target in `chunk`; what follows its end is dropped. */
  decode(chunk: Buffer): readonly Buffer[] {
    const parts: Buffer[] = [];
    let at = 0;
    while (at < chunk.length && !this.isClosed) {
      if (this.left === 0) {
        at += this.readLength(chunk.subarray(at));
      } else {
        const part = chunk.subarray(at, at + this.left);
        parts.push(part);
        this.left -= part.length;
        at += part.length;
      }
    }
    return parts;
  }

  /** Reads a length, or a part of one; returns the number of bytes that it took. */
  private readLength(bytes: Buffer): number {
    const taken = bytes.subarray(0, lengthBytes - this.length.length);
    this.length = Buffer.concat([this.length, taken]);
    if (this.length.length === lengthBytes) {
      this.left = this.length.readUInt32BE();
      this.isClosed = this.left === 0;
      this.length = Buffer.alloc(0);
    }
    return taken.length;
  }
}

function encodeLength(length: number): Buffer {
  const bytes = Buffer.alloc(lengthBytes);
  bytes.writeUInt32BE(length);
  return bytes;
}
