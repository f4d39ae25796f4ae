/**
 * Delivers one answer to its caller, as a stream of events or as one JSON object. Disconnects a
 * caller that does not read its answer within `unreadMs`.
 */

import type { ServerResponse } from 'node:http';
import { unreachable } from '@tanagercart/base';
import { maybeRun } from '@tanagercart/dispatch';
import type { AnswerEvent, GenerationRequest } from '@tanagercart/dispatch';
import type { FinishReason } from '@tanagercart/upstream';
import { sendJson } from './body.js';
import type { AnswerRequest } from './answerrequest.js';
import type { RequestContext, Entry } from './entry.js';
import { refusalBody } from './refusal.js';
import { hasDrained, hasFinished } from './backpressure.js';
import { StopFilter } from './stopfilter.js';
import type { AnswerWriter } from './answerwriter.js';

/** The request, its response, and the writer for the format of the answer. */
export interface DeliveryOptions {
  readonly entry: Entry;
  readonly res: ServerResponse;
  readonly writer: AnswerWriter;
  readonly answerRequest: AnswerRequest;
  readonly generation: GenerationRequest;
}

/** Sends the pieces of one answer, cut at the stop sequences of the request. */
export class Delivery {
  private readonly filter: StopFilter;
  private readonly context: RequestContext;
  private tokens = 0;

  private constructor(private readonly o: DeliveryOptions) {
    this.filter = StopFilter.create(o.answerRequest.stop);
    this.context = { request: o.generation.id, account: o.generation.account.id };
  }

  /** Number of tokens of the answer so far, with those that a stop sequence cuts off. */
  get generatedTokens(): number {
    return this.tokens;
  }

  static create(options: DeliveryOptions): Delivery {
    return new Delivery(options);
  }

  /** Sends each piece as it arrives. Leaving the loop early cancels the work at the engines. */
  async stream(pieces: AsyncIterable<AnswerEvent>): Promise<void> {
    const { entry, res } = this.o;
    for await (const piece of pieces) {
      if (piece.kind === 'refused' && !res.headersSent) {
        entry.refuse(res, piece.refusal, this.context);
        return;
      }
      if (!res.headersSent) this.writeHead();
      const ended = this.writePiece(piece);
      if (!(await hasDrained(res, entry.options.clock, entry.options.limits.unreadMs))) {
        this.abort();
        return;
      }
      if (ended) break;
    }
    res.end();
    await this.waitUntilRead();
  }

  /** Collects the whole answer and sends it as one object. */
  async sendBuffered(pieces: AsyncIterable<AnswerEvent>): Promise<void> {
    let text = '';
    for await (const piece of pieces) {
      switch (piece.kind) {
        case 'tokens': {
          const filtered = this.filterTokens(piece.tokens);
          text += filtered.texts.join('');
          if (filtered.stopped) return this.sendAnswer(text, 'stop');
          break;
        }
        case 'end':
          return this.sendAnswer(text + this.filter.flush(), piece.reason);
        case 'refused':
          this.o.entry.refuse(this.o.res, piece.refusal, this.context);
          return undefined;
        default:
          return unreachable(piece);
      }
    }
    return undefined;
  }

  private writeHead(): void {
    this.o.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'tanagercart-request': this.o.generation.id,
    });
  }

  /** Writes the events of a piece, and returns whether the answer has ended. */
  private writePiece(piece: AnswerEvent): boolean {
    switch (piece.kind) {
      case 'tokens':
        return this.writeTokens(piece.tokens);
      case 'end':
        return this.writeEnd(this.filter.flush(), piece.reason);
      case 'refused':
        this.o.entry.recordRefusal(piece.refusal, this.context);
        this.send(refusalBody(piece.refusal, []));
        return true;
      default:
        return unreachable(piece);
    }
  }

  /** Writes the events of tokens that arrived together in one write. */
  private writeTokens(tokens: readonly string[]): boolean {
    const { texts, stopped } = this.filterTokens(tokens);
    const { writer, res } = this.o;
    const events = texts.map((text) => (text === '' ? '' : writer.tokenEvent(text))).join('');
    if (events !== '') res.write(events);
    return stopped && this.writeEnd('', 'stop');
  }

  private writeEnd(rest: string, reason: FinishReason): true {
    const { writer, answerRequest, generation, res } = this.o;
    if (rest !== '') this.send(writer.chunk(rest, null));
    this.send(writer.chunk('', reason));
    if (answerRequest.includeUsage) this.send(writer.usage(generation.prompt.length, this.tokens));
    res.write('data: [DONE]\n\n');
    this.recordAnswered();
    return true;
  }

  /** The texts to send for `tokens`, and whether a stop sequence ended the answer. */
  private filterTokens(tokens: readonly string[]) {
    const texts: string[] = [];
    for (const token of tokens) {
      this.tokens += 1;
      const { text, stopped } = this.filter.push(token);
      texts.push(text);
      if (stopped) return { texts, stopped };
    }
    return { texts, stopped: false };
  }

  private send(value: object): void {
    this.o.res.write(`data: ${JSON.stringify(value)}\n\n`);
  }

  private async sendAnswer(text: string, reason: FinishReason): Promise<void> {
    const { writer, generation, res } = this.o;
    res.setHeader('tanagercart-request', generation.id);
    sendJson(res, 200, writer.answer(text, reason, generation.prompt.length, this.tokens));
    this.recordAnswered();
    await this.waitUntilRead();
  }

  private recordAnswered(): void {
    this.o.entry.options.metrics.count('answered');
    this.o.entry.options.logger.debug('Answered.', { ...this.context, tokens: this.tokens });
  }

  private async waitUntilRead(): Promise<void> {
    const { entry, res } = this.o;
    if (!(await hasFinished(res, entry.options.clock, entry.options.limits.unreadMs))) this.abort();
  }

  /** Records a slow reader and closes its connection. */
  private abort(): void {
    const { entry, res } = this.o;
    const ms = entry.options.limits.unreadMs;
    entry.recordRefusal(
      maybeRun('slow-reader', `the answer was left unread for ${ms} ms`),
      this.context,
    );
    res.destroy();
  }
}
