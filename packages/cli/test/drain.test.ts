import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import OpenAI from 'openai';
import { SystemClock } from '@tanagercart/base';
import { defaultLeaseTiming } from '@tanagercart/membership';
import { callOperatorApi, startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

const clock = SystemClock.create();
let demo: Demo;

before(async () => {
  demo = await startDemo({ nodes: 4, clock });
});

after(() => demo.stop());

const client = (entry: string) =>
  new OpenAI({ baseURL: `${entry}/v1`, apiKey: demo.ready.keys.grower!, maxRetries: 0 });

const params = { model: 'fig-advisor', prompt: 'How long do figs dry?', seed: 3, max_tokens: 12 };

const fullResponse = async (entry: string) =>
  (await client(entry).completions.create(params)).choices[0]!.text;

/**
 * Drains the node at index `at` while every entry streams a response. Returns the texts of the
 * streams and the response of the draining node to a new request.
 */
async function drainWhileStreaming(at: number, drain: (id: string) => Promise<unknown>) {
  const node = demo.nodes[at]!;
  const others = demo.nodes.filter((n) => n !== node);
  const streams = await Promise.all(
    [...others, node].map((n) =>
      client(n.entryUrl).completions.create({ ...params, stream: true }),
    ),
  );
  const drainRequested = node.untilDrainRequested();
  await drain(node.id);
  await drainRequested;
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

test('a drain that another node forwards interrupts no stream', async () => {
  const expected = await fullResponse(demo.ready.entries[0]!);
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

test('the remaining nodes take over the replicas of a drained node', async () => {
  // Each applies the change by itself, and takes no new work under the state before after a lease.
  const until = clock.now() + defaultLeaseTiming.leaseMs;
  for (const { history } of demo.nodes.slice(0, 3)) {
    while (history.state.nodes.size !== 3 && clock.now() < until) {
      await history.changed.waitUpTo(until - clock.now(), clock);
    }
    assert.equal(history.state.nodes.size, 3);
  }
  const expected = await fullResponse(demo.ready.entries[0]!);
  assert.equal(await fullResponse(demo.ready.entries[1]!), expected);
});

test('a drain of an unknown node is refused', async () => {
  const { operators, operatorKey } = demo.ready;
  const path = '/operators/v1/nodes/nobody/drain';
  const answer = await callOperatorApi(operators[0]!, operatorKey, 'POST', path);
  assert.equal(answer._unsafeUnwrap().status, 503);
});

test('all nodes can drain at the same time', async () => {
  await demo.drain();
  assert.ok(demo.nodes.every((n) => !n.ready));
});
