/** Joins the event streams of one or more attempts into one: each event once and in order. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Millis } from '@tanagercart/base';
import { isRepeatable } from './call.js';
import type { Call, Caller } from './call.js';
import { EventSplitter } from './events.js';
import type { StreamEvent } from './events.js';
import type { Holding } from './intake.js';
import { brokenRead } from './overrun.js';
import type { BrokenRead } from './overrun.js';
import type { UpstreamResponse } from './upstream.js';

const brokenOff: BrokenRead = { detail: 'the stream broke off' };

/** The stream of events to one caller, over all attempts. */
export class StreamDelivery {
  /** Whether the head of the response was sent to the caller. */
  started = false;
  /** Id of the last event that was sent to the caller. */
  lastEvent: number | undefined;
  /** Time of the first event. */
  firstEventAt: Millis | undefined;
  /** Whether the caller has yet to read what was written. */
  isHeldByCaller = false;
  /** Longest time between two received chunks with new events. */
  longestGapMs: Millis = 0;
  private lastChunkAt: Millis = 0;

  private constructor(
    private readonly caller: Caller,
    private readonly clock: Clock,
    private readonly isNumbered: boolean,
  ) {}

  static create(call: Call, caller: Caller, clock: Clock): StreamDelivery {
    const delivery = new StreamDelivery(caller, clock, isRepeatable(call));
    delivery.lastEvent = call.lastEvent;
    return delivery;
  }

  /**
   * Forwards the events of one attempt until its stream ends. `onEvents` is called for each chunk
   * that completes new events, with their number, before these are sent. Nothing is sent once `stop`
   * is aborted. `holding` is told the bytes of the incomplete event.
   */
  async forward(
    response: UpstreamResponse,
    onEvents: (count: number) => void,
    stop: AbortSignal,
    holding: Holding,
  ): Promise<Result<void, BrokenRead>> {
    const splitter = EventSplitter.create();
    try {
      for await (const chunk of response.body) {
        if (stop.aborted) return err(brokenOff);
        const received = splitter.push(chunk);
        holding.record(splitter.held);
        const foreign = received.findIndex((e) => this.isForeign(e.id));
        const own = foreign < 0 ? received : received.slice(0, foreign);
        const events = own.filter((e) => this.isNew(e.id));
        if (events.length > 0) await this.deliver(response, events, onEvents);
        if (foreign >= 0) return err(brokenOff);
      }
    } catch (e) {
      return err(brokenRead(e, brokenOff.detail));
    }
    if (splitter.isPartial || !this.started || stop.aborted) return err(brokenOff);
    this.caller.end();
    return ok();
  }

  /** Sends new events to the caller, after the head where they are the first ones. */
  private async deliver(
    { head }: UpstreamResponse,
    events: readonly StreamEvent[],
    onEvents: (count: number) => void,
  ): Promise<void> {
    if (!this.started) this.caller.start(head);
    this.started = true;
    this.recordChunk();
    onEvents(events.length);
    this.lastEvent = events.at(-1)!.id ?? this.lastEvent;
    this.isHeldByCaller = true;
    await this.caller.write(Buffer.concat(events.map((e) => e.bytes)));
    this.isHeldByCaller = false;
  }

  private recordChunk(): void {
    const now = this.clock.now();
    if (this.firstEventAt === undefined) this.firstEventAt = now;
    else this.longestGapMs = Math.max(this.longestGapMs, now - this.lastChunkAt);
    this.lastChunkAt = now;
  }

  /**
   * Whether bytes that end like an event are none of a resumable stream, all of whose events have an
   * id, but something that an upstream wrote into it.
   */
  private isForeign(id: number | undefined): boolean {
    return this.isNumbered && id === undefined;
  }

  /** Whether the caller has not received the event yet; a resumed stream may repeat events. */
  private isNew(id: number | undefined): boolean {
    return id === undefined || this.lastEvent === undefined || id > this.lastEvent;
  }
}
