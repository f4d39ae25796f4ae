import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import OpenAI from 'openai';
import { SystemClock } from '@tanagercart/base';
import { startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

let demo: Demo;

before(async () => {
  demo = await startDemo({ nodes: 1, clock: SystemClock.create() });
});

after(() => demo.stop());

const client = (apiKey = demo.ready.keys.grower!) =>
  new OpenAI({ baseURL: `${demo.ready.entries[0]}/v1`, apiKey, maxRetries: 0 });

const messages = [{ role: 'user' as const, content: 'How long do figs dry?' }];
const chat = { model: 'fig-advisor', messages, seed: 3, max_tokens: 12 };

const fullResponse = async (extra: object = {}) => {
  const answer = await client().chat.completions.create({ ...chat, ...extra });
  return answer.choices[0]!;
};

const errorOf = async (work: Promise<unknown>) => {
  const error: unknown = await work.then(
    () => undefined,
    (e: unknown) => e,
  );
  assert.ok(error instanceof OpenAI.APIError);
  return error;
};

test('the chunks of a stream add up to the whole response and end with the usage', async () => {
  const options = { stream: true as const, stream_options: { include_usage: true } };
  const stream = await client().chat.completions.create({ ...chat, ...options });
  let text = '';
  let finish: string | undefined;
  let usage: number | undefined;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    finish = chunk.choices[0]?.finish_reason ?? finish;
    usage = chunk.usage?.completion_tokens ?? usage;
  }
  const expected = await fullResponse();
  assert.deepEqual([text, finish], [expected.message.content, expected.finish_reason]);
  assert.equal(usage, 12);
});

test('the completions endpoint responds', async () => {
  const prompt = 'How long do figs dry?';
  const answer = await client().completions.create({ model: 'fig-advisor:1', prompt });
  assert.equal(answer.object, 'text_completion');
  assert.notEqual(answer.choices[0]!.text, '');
});

test('a stop sequence ends the response before the sequence', async () => {
  const { content } = (await fullResponse()).message;
  const stop = content!.slice(10, 14);
  const cut = await fullResponse({ stop });
  assert.equal(cut.message.content, content!.slice(0, content!.indexOf(stop)));
  assert.equal(cut.finish_reason, 'stop');
});

test('the models are listed with their versions', async () => {
  const ids = (await client().models.list()).data.map((m) => m.id);
  assert.deepEqual(ids, ['fig-advisor', 'fig-advisor:1']);
  assert.equal((await client().models.retrieve('fig-advisor:1')).id, 'fig-advisor:1');
});

test('refusals map to error classes of the client library', async () => {
  const completions = (extra: object, key?: string) =>
    errorOf(client(key).chat.completions.create({ ...chat, ...extra }));
  const wrongKey = await completions({}, 'nobody-has-this');
  const noModel = await completions({ model: 'none' });
  const many = await completions({ n: 2 });
  assert.ok(wrongKey instanceof OpenAI.AuthenticationError);
  assert.ok(noModel instanceof OpenAI.NotFoundError);
  assert.deepEqual([noModel.code, many.code, many.status], ['unknown-model', 'unsupported', 400]);
  assert.equal(many.headers?.get('tanagercart-run'), 'not-run');
});
