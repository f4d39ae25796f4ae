/** Collects bytes that arrive in chunks of any size. */

/** Size of the first block of a collection, in bytes. */
const firstBlockBytes = 1024;

/** Largest block for copies, in bytes. */
const maxBlockBytes = 64 * 1024;

/** Smallest chunk that is kept without a copy, in bytes. */
const minKeptBytes = 8 * 1024;

/**
 * Bytes in blocks that grow with what they hold. Each byte is copied at most once, however small the
 * chunks are in which it arrives, and the memory is a small multiple of the bytes.
 */
export class ByteBlocks {
  private readonly full: Uint8Array[] = [];
  private block = Buffer.alloc(0);
  private used = 0;
  private total = 0;

  static create(): ByteBlocks {
    return new ByteBlocks();
  }

  /** Number of bytes that are held. */
  get length(): number {
    return this.total;
  }

  /** Adds `chunk`, which must not change afterwards. */
  append(chunk: Uint8Array): void {
    if (isKept(chunk)) this.keep(chunk);
    else this.copy(chunk);
  }

  /** Returns all bytes, and holds none from then on. */
  take(): Buffer {
    const bytes = Buffer.concat([...this.full, this.block.subarray(0, this.used)]);
    this.full.length = 0;
    this.block = Buffer.alloc(0);
    this.used = 0;
    this.total = 0;
    return bytes;
  }

  private keep(chunk: Uint8Array): void {
    if (this.used > 0) this.full.push(this.block.subarray(0, this.used));
    this.full.push(chunk);
    this.block = this.block.subarray(this.used);
    this.used = 0;
    this.total += chunk.length;
  }

  private copy(chunk: Uint8Array): void {
    let from = 0;
    while (from < chunk.length) {
      if (this.used === this.block.length) this.startBlock();
      const part = chunk.subarray(from, from + this.block.length - this.used);
      this.block.set(part, this.used);
      this.used += part.length;
      this.total += part.length;
      from += part.length;
    }
  }

  private startBlock(): void {
    if (this.used > 0) this.full.push(this.block);
    const size = Math.min(maxBlockBytes, Math.max(firstBlockBytes, this.total));
    this.block = Buffer.allocUnsafe(size);
    this.used = 0;
  }
}

/** Whether a chunk is kept as it is: it is large, and is most of the memory that it is in. */
function isKept(chunk: Uint8Array): boolean {
  return chunk.length >= minKeptBytes && chunk.length * 2 >= chunk.buffer.byteLength;
}
