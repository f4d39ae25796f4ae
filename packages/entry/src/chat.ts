/** Requests and answers in the form that OpenAI clients speak. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { FinishReason } from '@tanagercart/upstream';

/** Answer tokens where the caller names no limit. */
const defaultMaxTokens = 1024;

const part = z.object({ type: z.literal('text'), text: z.string() });

const message = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(part)]),
});

const common = {
  model: z.string(),
  stream: z.boolean().nullish(),
  seed: z.int().nullish(),
  max_tokens: z.int().positive().nullish(),
  resume: z.array(z.string()).nullish(),
};

const chat = z.object({
  ...common,
  messages: z.array(message).min(1),
  max_completion_tokens: z.int().positive().nullish(),
});

const completion = z.object({ ...common, prompt: z.string() });

/** Which of the two kinds of answer a caller asked for. */
export type AnswerKind = 'chat' | 'completion';

/** A request for an answer, as the caller sent it. */
export interface AnswerRequest {
  readonly kind: AnswerKind;
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly seed: number;
  readonly maxTokens: number;
  /** Tokens that the caller has of the answer already. */
  readonly resume: readonly string[];
}

/** Parses the body of a request; the error names the key. */
export function parseAnswerRequest(kind: AnswerKind, body: unknown): Result<AnswerRequest, string> {
  const parsed = kind === 'chat' ? chat.safeParse(body) : completion.safeParse(body);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
  }
  const b = parsed.data;
  const most = 'max_completion_tokens' in b ? b.max_completion_tokens : undefined;
  return ok({
    kind,
    model: b.model,
    prompt: 'messages' in b ? promptOf(b.messages) : b.prompt,
    stream: b.stream ?? false,
    seed: b.seed ?? 0,
    maxTokens: most ?? b.max_tokens ?? defaultMaxTokens,
    resume: b.resume ?? [],
  });
}

function promptOf(messages: readonly z.infer<typeof message>[]): string {
  return messages.map((m) => `${m.role}: ${textOf(m.content)}`).join('\n');
}

function textOf(content: z.infer<typeof message>['content']): string {
  return typeof content === 'string' ? content : content.map((p) => p.text).join('');
}

/** Writes the objects of one answer. */
export class AnswerWriter {
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
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    };
    return { ...this.head(object), choices: [choice], usage };
  }

  private head(object: string) {
    return { id: this.id, object, created: this.created, model: this.model };
  }
}
