/** Requests and answers in the form that OpenAI clients speak. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';

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
  n: z.literal(1, 'only one answer for a request is supported').nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
};

const chat = z.object({
  ...common,
  messages: z.array(message).min(1),
  max_completion_tokens: z.int().positive().nullish(),
});

const completion = z.object({ ...common, prompt: z.union([z.string(), z.tuple([z.string()])]) });

/** Which of the two kinds of answer a caller asked for. */
export type AnswerKind = 'chat' | 'completion';

/** A request for an answer, as the caller sent it. */
export interface AnswerRequest {
  readonly kind: AnswerKind;
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly seed: number;
  /** Most tokens of the answer, where the caller names a limit. */
  readonly maxTokens: number | undefined;
  /** Sequences that end the answer before them. */
  readonly stop: readonly string[];
  /** Whether a streamed answer ends with its numbers of tokens. */
  readonly includeUsage: boolean;
  /** Tokens that the caller has of the answer already. */
  readonly resume: readonly string[];
}

/** What is wrong with a request. */
export interface RequestProblem {
  readonly reason: 'malformed' | 'unsupported';
  /** Key and what is wrong with it. */
  readonly message: string;
}

/** Parses the body of a request; the error names the key. */
export function parseAnswerRequest(
  kind: AnswerKind,
  body: unknown,
): Result<AnswerRequest, RequestProblem> {
  const parsed = kind === 'chat' ? chat.safeParse(body) : completion.safeParse(body);
  if (!parsed.success) {
    return err(problemOf(parsed.error));
  }
  const b = parsed.data;
  const most = 'max_completion_tokens' in b ? b.max_completion_tokens : undefined;
  return ok({
    kind,
    model: b.model,
    prompt: 'messages' in b ? promptOf(b.messages) : String(b.prompt),
    stream: b.stream ?? false,
    seed: b.seed ?? 0,
    maxTokens: most ?? b.max_tokens ?? undefined,
    stop: stopOf(b.stop),
    includeUsage: b.stream_options?.include_usage ?? false,
    resume: b.resume ?? [],
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

function stopOf(stop: string | readonly string[] | null | undefined): readonly string[] {
  const list = typeof stop === 'string' ? [stop] : (stop ?? []);
  return list.filter((s) => s !== '');
}

function promptOf(messages: readonly z.infer<typeof message>[]): string {
  return messages.map((m) => `${m.role}: ${textOf(m.content)}`).join('\n');
}

function textOf(content: z.infer<typeof message>['content']): string {
  return typeof content === 'string' ? content : content.map((p) => p.text).join('');
}
