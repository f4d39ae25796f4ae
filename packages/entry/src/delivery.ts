/** Delivers one answer to its caller, as a stream or whole. */

import type { ServerResponse } from 'node:http';
import { unreachable } from '@tanagercart/base';
import { maybeRun } from '@tanagercart/dispatch';
import type { Generation, Piece } from '@tanagercart/dispatch';
import type { FinishReason } from '@tanagercart/upstream';
import { sendJson } from './body.js';
import type { AnswerRequest } from './chat.js';
import type { RequestContext, Entry } from './entry.js';
import { refusalBody } from './refuse.js';
import { hasRoom, hasTaken } from './room.js';
import { StopFilter } from './stop.js';
import type { AnswerWriter } from './writer.js';

/** What a delivery needs. */
export interface DeliveryOptions {
  readonly entry: Entry;
  readonly res: ServerResponse;
  readonly writer: AnswerWriter;
  readonly asked: AnswerRequest;
  readonly generation: Generation;
}

/** Sends the pieces of one answer. */
export class Delivery {
  private readonly filter: StopFilter;
  private readonly about: RequestContext;
  private tokens = 0;

  private constructor(private readonly o: DeliveryOptions) {
    this.filter = StopFilter.create(o.asked.stop);
    this.about = { request: o.generation.id, account: o.generation.account.id };
  }

  /** Tokens of the answer so far, those that a stop sequence cuts off included. */
  get generated(): number {
    return this.tokens;
  }

  static create(options: DeliveryOptions): Delivery {
    return new Delivery(options);
  }

  /** Sends each piece as it comes; leaving the loop early cancels the work at the engines. */
  async stream(pieces: AsyncIterable<Piece>): Promise<void> {
    const { entry, res } = this.o;
    for await (const piece of pieces) {
      if (piece.kind === 'refused' && !res.headersSent) {
        entry.refuse(res, piece.refusal, this.about);
        return;
      }
      if (!res.headersSent) this.head();
      const ended = this.write(piece);
      if (!(await hasRoom(res, entry.options.clock, entry.options.limits.unreadMs))) {
        this.cut();
        return;
      }
      if (ended) break;
    }
    res.end();
    await this.untilTaken();
  }

  /** Sends the answer once it is whole. */
  async whole(pieces: AsyncIterable<Piece>): Promise<void> {
    let text = '';
    for await (const piece of pieces) {
      switch (piece.kind) {
        case 'tokens': {
          const passed = this.pass(piece.tokens);
          text += passed.texts.join('');
          if (passed.stopped) return this.sendWhole(text, 'stop');
          break;
        }
        case 'end':
          return this.sendWhole(text + this.filter.flush(), piece.reason);
        case 'refused':
          this.o.entry.refuse(this.o.res, piece.refusal, this.about);
          return undefined;
        default:
          return unreachable(piece);
      }
    }
    return undefined;
  }

  private head(): void {
    this.o.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'tanagercart-request': this.o.generation.id,
    });
  }

  /** Writes what a piece adds to the stream; tells whether the answer has ended. */
  private write(piece: Piece): boolean {
    switch (piece.kind) {
      case 'tokens':
        return this.writeTokens(piece.tokens);
      case 'end':
        return this.writeEnd(this.filter.flush(), piece.reason);
      case 'refused':
        this.o.entry.recordRefusal(piece.refusal, this.about);
        this.event(refusalBody(piece.refusal, []));
        return true;
      default:
        return unreachable(piece);
    }
  }

  /** Writes tokens that came together at once. */
  private writeTokens(tokens: readonly string[]): boolean {
    const { texts, stopped } = this.pass(tokens);
    const { writer, res } = this.o;
    const events = texts.map((text) => (text === '' ? '' : writer.tokenEvent(text))).join('');
    if (events !== '') res.write(events);
    return stopped && this.writeEnd('', 'stop');
  }

  private writeEnd(rest: string, reason: FinishReason): true {
    const { writer, asked, generation, res } = this.o;
    if (rest !== '') this.event(writer.chunk(rest, null));
    this.event(writer.chunk('', reason));
    if (asked.includeUsage) this.event(writer.usage(generation.prompt.length, this.tokens));
    res.write('data: [DONE]\n\n');
    this.noteAnswered();
    return true;
  }

  /** What may be sent after `tokens`, and whether a stop sequence ended the answer. */
  private pass(tokens: readonly string[]) {
    const texts: string[] = [];
    for (const token of tokens) {
      this.tokens += 1;
      const { text, stopped } = this.filter.push(token);
      texts.push(text);
      if (stopped) return { texts, stopped };
    }
    return { texts, stopped: false };
  }

  private event(value: object): void {
    this.o.res.write(`data: ${JSON.stringify(value)}\n\n`);
  }

  private async sendWhole(text: string, reason: FinishReason): Promise<void> {
    const { writer, generation, res } = this.o;
    res.setHeader('tanagercart-request', generation.id);
    sendJson(res, 200, writer.whole(text, reason, generation.prompt.length, this.tokens));
    this.noteAnswered();
    await this.untilTaken();
  }

  private noteAnswered(): void {
    this.o.entry.options.metrics.count('answered');
    this.o.entry.options.logger.debug('Answered.', { ...this.about, tokens: this.tokens });
  }

  private async untilTaken(): Promise<void> {
    const { entry, res } = this.o;
    if (!(await hasTaken(res, entry.options.clock, entry.options.limits.unreadMs))) this.cut();
  }

  /** Cuts off a caller that does not read its answer. */
  private cut(): void {
    const { entry, res } = this.o;
    const ms = entry.options.limits.unreadMs;
    entry.recordRefusal(
      maybeRun('slow-reader', `the answer was left unread for ${ms} ms`),
      this.about,
    );
    res.destroy();
  }
}
