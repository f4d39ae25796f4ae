/** Writes answers in the form that OpenAI clients read. */

import type { FinishReason } from '@tanagercart/upstream';
import type { AnswerKind } from './chat.js';

/** Stands for the token in the event that `around` is cut from; no caller can name it. */
const mark = '\u0000token\u0000';

/** Writes the objects of one answer. */
export class AnswerWriter {
  /** What stands before and after the token in the event of a chunk. */
  private around: readonly string[] | undefined;

  private constructor(
    private readonly kind: AnswerKind,
    private readonly id: string,
    private readonly model: string,
    private readonly created: number,
  ) {}

  /** `created` is in seconds since 1970. */
  static create(kind: AnswerKind, id: string, model: string, created: number): AnswerWriter {
    return new AnswerWriter(kind, id, model, created);
  }

  /** A chunk of a streamed answer. */
  chunk(token: string, finish: FinishReason | null): object {
    const choice =
      this.kind === 'chat'
        ? {
            index: 0,
            delta: token ? { role: 'assistant', content: token } : {},
            finish_reason: finish,
          }
        : { index: 0, text: token, logprobs: null, finish_reason: finish };
    const object = this.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return { ...this.head(object), choices: [choice] };
  }

  /** A whole answer. */
  whole(text: string, finish: FinishReason, promptTokens: number, tokens: number): object {
    const choice =
      this.kind === 'chat'
        ? {
            index: 0,
            message: { role: 'assistant', content: text, refusal: null },
            logprobs: null,
            finish_reason: finish,
          }
        : { index: 0, text, logprobs: null, finish_reason: finish };
    const object = this.kind === 'chat' ? 'chat.completion' : 'text_completion';
    return { ...this.head(object), choices: [choice], usage: usageOf(promptTokens, tokens) };
  }

  /** The chunk that ends a stream whose caller asked for its numbers of tokens. */
  usage(promptTokens: number, tokens: number): object {
    const object = this.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return { ...this.head(object), choices: [], usage: usageOf(promptTokens, tokens) };
  }

  /** The event of a chunk with `token`: only the token is encoded anew for each. */
  tokenEvent(token: string): string {
    this.around ??= `data: ${JSON.stringify(this.chunk(mark, null))}\n\n`.split(
      JSON.stringify(mark),
    );
    return this.around[0]! + JSON.stringify(token) + this.around[1]!;
  }

  private head(object: string) {
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
