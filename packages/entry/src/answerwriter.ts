/** Builds answers and chunks of streams in the format of OpenAI's API. */

import type { FinishReason } from '@tanagercart/upstream';
import type { AnswerKind } from './answerrequest.js';

/**
 * Placeholder for the token in the event that is split into `eventParts`. No other field of a chunk
 * is expected to contain it.
 */
const tokenPlaceholder = '\u0000token\u0000';

/** Builds the objects of one answer; each has the same id, model and time of creation. */
export class AnswerWriter {
  /** The text before and after the token in the event of a chunk. */
  private eventParts: readonly string[] | undefined;

  private constructor(
    private readonly kind: AnswerKind,
    private readonly id: string,
    private readonly model: string,
    private readonly created: number,
  ) {}

  /** `created` is the Unix time in seconds. */
  static create(kind: AnswerKind, id: string, model: string, created: number): AnswerWriter {
    return new AnswerWriter(kind, id, model, created);
  }

  /** A chunk of a streamed answer. */
  chunk(token: string, finishReason: FinishReason | null): object {
    const choice =
      this.kind === 'chat'
        ? {
            index: 0,
            delta: token ? { role: 'assistant', content: token } : {},
            finish_reason: finishReason,
          }
        : { index: 0, text: token, logprobs: null, finish_reason: finishReason };
    const object = this.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return { ...this.commonFields(object), choices: [choice] };
  }

  /** A whole answer that is not streamed. */
  answer(text: string, finishReason: FinishReason, promptTokens: number, tokens: number): object {
    const choice =
      this.kind === 'chat'
        ? {
            index: 0,
            message: { role: 'assistant', content: text, refusal: null },
            logprobs: null,
            finish_reason: finishReason,
          }
        : { index: 0, text, logprobs: null, finish_reason: finishReason };
    const object = this.kind === 'chat' ? 'chat.completion' : 'text_completion';
    return {
      ...this.commonFields(object),
      choices: [choice],
      usage: usageOf(promptTokens, tokens),
    };
  }

  /** The last chunk of a stream whose caller asked for token counts. */
  usage(promptTokens: number, tokens: number): object {
    const object = this.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return { ...this.commonFields(object), choices: [], usage: usageOf(promptTokens, tokens) };
  }

  /** The server-sent event of a chunk with `token`. Only the token is encoded for each event. */
  tokenEvent(token: string): string {
    this.eventParts ??= `data: ${JSON.stringify(this.chunk(tokenPlaceholder, null))}\n\n`.split(
      JSON.stringify(tokenPlaceholder),
    );
    return this.eventParts[0]! + JSON.stringify(token) + this.eventParts[1]!;
  }

  private commonFields(object: string) {
    return { id: this.id, object, created: this.created, model: this.model };
  }
}

function usageOf(promptTokens: number, tokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}
