/** Splits a byte stream of server-sent events into complete events. */

import { ByteBlocks } from '@tanagercart/base';
import { Overrun } from './overrun.js';

/** One complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined where there is none or it is not an integer. */
  readonly id: number | undefined;
}

/** Largest event; bytes without the end of an event are not held beyond this. */
export const maxEventBytes = 1024 * 1024;

const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = 'id:';

/** Collects bytes until they make up complete events; looks at each byte once. */
export class EventSplitter {
  /** The bytes of the incomplete event, without the end of an event in them. */
  private readonly partial = ByteBlocks.create();
  /** How many bytes of the end of an event were received last. */
  private matched: 0 | 1 | 2 = 0;

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an incomplete event are held. */
  get isPartial(): boolean {
    return this.partial.length > 0;
  }

  /** Number of bytes of the incomplete event. */
  get held(): number {
    return this.partial.length;
  }

  /**
   * Adds `chunk`, which must not change afterwards, and returns the events that it completes. Throws
   * an `Overrun` if more than `maxEventBytes` are left without the end of an event.
   */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let from = 0;
    for (;;) {
      const end = this.endOfEvent(chunk, from);
      if (end < 0) break;
      const bytes = this.complete(chunk.subarray(from, end));
      events.push({ bytes, id: idOf(bytes) });
      from = end;
    }
    if (this.partial.length + chunk.length - from > maxEventBytes) {
      throw Overrun.create('event', 'an event is too large');
    }
    this.partial.append(chunk.subarray(from));
    return events;
  }

  /** The present event, of which `last` are the last bytes. */
  private complete(last: Uint8Array): Buffer {
    if (!this.isPartial) return Buffer.from(last.buffer, last.byteOffset, last.length);
    this.partial.append(last);
    return this.partial.take();
  }

  /** Offset after the blank line that ends the present event; -1 where `chunk` does not end it. */
  private endOfEvent(chunk: Uint8Array, from: number): number {
    const { length } = chunk;
    let { matched } = this;
    let at = from;
    for (; at < length; at += 1) {
      const byte = chunk[at];
      if (byte === newline) {
        if (matched !== 0) break;
        matched = 1;
      } else if (matched !== 0) {
        matched = byte === carriageReturn && matched === 1 ? 2 : 0;
      }
    }
    const isEnd = at < length;
    this.matched = isEnd ? 0 : matched;
    return isEnd ? at + 1 : -1;
  }
}

function idOf(event: Buffer): number | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (!line.startsWith(idField)) continue;
    const id = Number(line.slice(idField.length).trim());
    return Number.isSafeInteger(id) ? id : undefined;
  }
  return undefined;
}
