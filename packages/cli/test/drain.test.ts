import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import OpenAI from 'openai';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi, startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

let demo: Demo;

before(async () => {
  demo = await startDemo({ nodes: 4, clock: SystemClock.create() });
});

after(() => demo.stop());

const client = (entry: string) =>
  new OpenAI({ baseURL: `${entry}/v1`, apiKey: demo.ready.keys.grower!, maxRetries: 0 });

const asked = { model: 'fig-advisor', prompt: 'How long do figs dry?', seed: 3, max_tokens: 12 };

const whole = async (entry: string) =>
  (await client(entry).completions.create(asked)).choices[0]!.text;

/** Drains `node` while every entry streams an answer; yields the answers and a later refusal. */
async function drainWhileStreaming(at: number, drain: (id: string) => Promise<unknown>) {
  const node = demo.nodes[at]!;
  const others = demo.nodes.filter((n) => n !== node);
  const streams = await Promise.all(
    [...others, node].map((n) => client(n.entryUrl).completions.create({ ...asked, stream: true })),
  );
  const asking = node.untilDrainRequested();
  await drain(node.id);
  await asking;
  const drained = node.drain();
  const refused = await fetch(`${node.entryUrl}/v1/completions`, { method: 'POST', body: '{}' });
  const texts = await Promise.all(
    streams.map(async (stream) => {
      let text = '';
      for await (const chunk of stream) text += chunk.choices[0]!.text;
      return text;
    }),
  );
  await drained;
  return { texts, refused };
}

test("an operator's drain through another node cuts no stream", async () => {
  const expected = await whole(demo.ready.entries[0]!);
  const { texts, refused } = await drainWhileStreaming(3, (id) =>
    callOperatorApi(
      demo.ready.operators[0]!,
      demo.ready.operatorKey,
      'POST',
      `/operators/v1/nodes/${id}/drain`,
    ),
  );
  assert.deepEqual(texts, Array(4).fill(expected));
  const { error } = (await refused.json()) as { error: { code: string; entries: string[] } };
  assert.deepEqual([error.code, refused.headers.get('tanagercart-run')], ['draining', 'not-run']);
  assert.ok(error.entries.length > 0);
  assert.ok(!error.entries.includes(demo.nodes[3]!.entryUrl));
});

test('the others own what a drained node owned, and go on', async () => {
  assert.ok(demo.nodes.slice(0, 3).every((n) => n.history.state.nodes.size === 3));
  const expected = await whole(demo.ready.entries[0]!);
  assert.equal(await whole(demo.ready.entries[1]!), expected);
});

test('a drain of an unknown node is refused', async () => {
  const { operators, operatorKey } = demo.ready;
  const path = '/operators/v1/nodes/nobody/drain';
  const answer = await callOperatorApi(operators[0]!, operatorKey, 'POST', path);
  assert.equal(answer._unsafeUnwrap().status, 503);
});

test('all nodes drain at once', async () => {
  await demo.drain();
  assert.ok(demo.nodes.every((n) => !n.ready));
});
