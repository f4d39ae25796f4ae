/** Passes the events of one or more runs on as one stream, each once and in order. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Call, Caller } from './call.js';
import { EventSplitter } from './events.js';
import type { UpstreamResponse } from './upstream.js';

/** How one run ended. */
export type RunOutcome = 'complete' | 'broken';

/** The caller's stream over all runs. */
export class StreamDelivery {
  /** Whether the head was sent to the caller. */
  started = false;
  /** The last event that the caller has. */
  lastEvent: number | undefined;
  /** When the caller got its first event. */
  firstEventAt: Millis | undefined;
  /** The longest pause between two pieces. */
  longestGapMs: Millis = 0;
  private heardAt: Millis = 0;

  private constructor(
    private readonly caller: Caller,
    private readonly clock: Clock,
  ) {}

  static create(call: Call, caller: Caller, clock: Clock): StreamDelivery {
    const delivery = new StreamDelivery(caller, clock);
    delivery.lastEvent = call.lastEvent;
    return delivery;
  }

  /** Passes on one run until it ends; `onEvent` is called for each piece of it. */
  async forward(answer: UpstreamResponse, onEvent: () => void): Promise<RunOutcome> {
    const splitter = EventSplitter.create();
    try {
      for await (const chunk of answer.body) {
        const events = splitter.push(chunk).filter((e) => this.isNext(e.id));
        if (events.length === 0) continue;
        if (!this.started) this.caller.start(answer.head);
        this.started = true;
        this.hear();
        onEvent();
        this.lastEvent = events.at(-1)!.id ?? this.lastEvent;
        await this.caller.write(Buffer.concat(events.map((e) => e.bytes)));
      }
    } catch {
      return 'broken';
    }
    if (splitter.isPartial || !this.started) return 'broken';
    this.caller.end();
    return 'complete';
  }

  private hear(): void {
    const now = this.clock.now();
    if (this.firstEventAt === undefined) this.firstEventAt = now;
    else this.longestGapMs = Math.max(this.longestGapMs, now - this.heardAt);
    this.heardAt = now;
  }

  /** Events that the caller has already are left out. */
  private isNext(id: number | undefined): boolean {
    return id === undefined || this.lastEvent === undefined || id > this.lastEvent;
  }
}
