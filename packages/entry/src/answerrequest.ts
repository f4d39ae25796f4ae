/** Parses the bodies of chat completions and completions, in the format of OpenAI's API. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';

const textPart = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(textPart)]),
});

const commonFields = {
  model: z.string(),
  stream: z.boolean().nullish(),
  seed: z.int().nullish(),
  max_tokens: z.int().positive().nullish(),
  resume: z.array(z.string()).nullish(),
  n: z.literal(1, 'only one answer for a request is supported').nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
};

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: z.int().positive().nullish(),
});

const completionSchema = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.tuple([z.string()])]),
});

/** Whether a request is for a chat completion or for a completion. */
export type AnswerKind = 'chat' | 'completion';

/** A parsed request for an answer. */
export interface AnswerRequest {
  readonly kind: AnswerKind;
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly seed: number;
  /** Most tokens of the answer; undefined where the caller sets no limit. */
  readonly maxTokens: number | undefined;
  /** Stop sequences. The answer ends before the first one that it contains. */
  readonly stop: readonly string[];
  /** Whether a streamed answer ends with a chunk of token counts. */
  readonly includeUsage: boolean;
  /** Tokens of the answer that the caller already received; the rest of the answer is sent. */
  readonly resume: readonly string[];
}

/** Why a request cannot be parsed. */
export interface RequestProblem {
  readonly reason: 'malformed' | 'unsupported';
  /** The key, and what is wrong with its value. */
  readonly message: string;
}

/** Parses the body of a request for an answer. The error names the first wrong key. */
export function parseAnswerRequest(
  kind: AnswerKind,
  body: unknown,
): Result<AnswerRequest, RequestProblem> {
  const parsed = kind === 'chat' ? chatSchema.safeParse(body) : completionSchema.safeParse(body);
  if (!parsed.success) {
    return err(problemOf(parsed.error));
  }
  const fields = parsed.data;
  const maxCompletionTokens =
    'max_completion_tokens' in fields ? fields.max_completion_tokens : undefined;
  return ok({
    kind,
    model: fields.model,
    prompt: 'messages' in fields ? promptOf(fields.messages) : String(fields.prompt),
    stream: fields.stream ?? false,
    seed: fields.seed ?? 0,
    maxTokens: maxCompletionTokens ?? fields.max_tokens ?? undefined,
    stop: stopSequencesOf(fields.stop),
    includeUsage: fields.stream_options?.include_usage ?? false,
    resume: fields.resume ?? [],
  });
}

function problemOf(error: z.ZodError): RequestProblem {
  const [issue] = error.issues;
  const path = issue?.path.join('.') ?? '';
  return {
    reason: path === 'n' ? 'unsupported' : 'malformed',
    message: `${path || 'body'}: ${issue?.message ?? 'malformed'}`,
  };
}

function stopSequencesOf(stop: string | readonly string[] | null | undefined): readonly string[] {
  const list = typeof stop === 'string' ? [stop] : (stop ?? []);
  return list.filter((s) => s !== '');
}

function promptOf(messages: readonly z.infer<typeof messageSchema>[]): string {
  return messages.map((m) => `${m.role}: ${textOfContent(m.content)}`).join('\n');
}

function textOfContent(content: z.infer<typeof messageSchema>['content']): string {
  return typeof content === 'string' ? content : content.map((p) => p.text).join('');
}
