/** Splits a stream of server-sent events into whole events. */

/** One whole event with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Its `id` field where that is a whole number. */
  readonly id: number | undefined;
}

const newline = 0x0a;
const idField = 'id:';

/** Gathers bytes into events. */
export class EventSplitter {
  private held: Buffer = Buffer.alloc(0);

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an unfinished event are held. */
  get isPartial(): boolean {
    return this.held.length > 0;
  }

  /** The events that `chunk` completes. */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    this.held = this.held.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.held, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (;;) {
      const end = endOfEvent(this.held, from);
      if (end < 0) break;
      const bytes = this.held.subarray(from, end);
      events.push({ bytes, id: idOf(bytes) });
      from = end;
    }
    this.held = this.held.subarray(from);
    return events;
  }
}

/** Where the event that begins at `from` ends, after its blank line; -1 where it is not complete. */
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
