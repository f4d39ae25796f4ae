/** Splits a byte stream of server-sent events into complete events. */

/** One complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined where there is none or it is not an integer. */
  readonly id: number | undefined;
}

/** Largest event; bytes without the end of an event are not buffered beyond this. */
export const maxEventBytes = 1024 * 1024;

const newline = 0x0a;
const idField = 'id:';

/** Buffers bytes until they make up complete events. */
export class EventSplitter {
  private buffer: Buffer = Buffer.alloc(0);

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an incomplete event are buffered. */
  get isPartial(): boolean {
    return this.buffer.length > 0;
  }

  /**
   * Adds `chunk` and returns the events that it completes. Throws if more than `maxEventBytes` are
   * left without the end of an event.
   */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    this.buffer =
      this.buffer.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.buffer, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (;;) {
      const end = endOfEvent(this.buffer, from);
      if (end < 0) break;
      const bytes = this.buffer.subarray(from, end);
      events.push({ bytes, id: idOf(bytes) });
      from = end;
    }
    this.buffer = this.buffer.subarray(from);
    if (this.buffer.length > maxEventBytes) throw new RangeError('an event is too large');
    return events;
  }
}

/** Offset after the blank line that ends the event at `from`; -1 where the event is incomplete. */
function endOfEvent(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(newline, from);
  while (at >= 0) {
    if (bytes[at + 1] === newline) return at + 2;
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === newline) return at + 3;
    at = bytes.indexOf(newline, at + 1);
  }
  return -1;
}

function idOf(event: Buffer): number | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (!line.startsWith(idField)) continue;
    const id = Number(line.slice(idField.length).trim());
    return Number.isSafeInteger(id) ? id : undefined;
  }
  return undefined;
}
