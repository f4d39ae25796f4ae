import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { expectedAnswer } from '@tanagercart/standin';
import { startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

let demo: Demo;

before(async () => {
  demo = await startDemo({ nodes: 2, clock: SystemClock.create() });
});

after(() => demo.stop());

function post(path: string, body: object, headers: Record<string, string> = {}) {
  const key = demo.ready.keys.grower;
  return fetch(demo.ready.entries[0] + path, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${key}`, ...headers },
    body: JSON.stringify(body),
  });
}

const completion = {
  model: 'fig-advisor',
  prompt: 'How long do figs dry?',
  seed: 3,
  max_tokens: 12,
};

const expected = () =>
  expectedAnswer(
    { model: 'fig-advisor', version: '1', adapter: undefined, prompt: completion.prompt, seed: 3 },
    8,
    12,
  );

test('a pipeline of stages returns the whole response', async () => {
  const answer = await post('/v1/completions', completion);
  const body = (await answer.json()) as { choices: { text: string }[] };
  assert.equal(answer.status, 200);
  assert.equal(body.choices[0]!.text, expected().join(''));
});

test('a response is streamed as events', async () => {
  const answer = await post('/v1/completions', { ...completion, stream: true });
  const events = (await answer.text()).split('\n\n').filter((e) => e.startsWith('data: {'));
  const texts = events.map((e) => JSON.parse(e.slice(6)).choices[0].text as string);
  assert.equal(texts.join(''), expected().join(''));
});

test('an order is placed once, and a resend returns the same response', async () => {
  const key = { 'idempotency-key': 'trays-1' };
  const one = await post('/v1/services/orders/orders', { trays: 40 }, key);
  const two = await post('/v1/services/orders/orders', { trays: 40 }, key);
  assert.deepEqual([one.status, two.status], [201, 201]);
  assert.equal(demo.placements.get('trays-1'), 1);
  const other = await post('/v1/services/orders/orders', { trays: 41 }, key);
  assert.equal(other.status, 409);
});

test('an order whose response was lost is reported unknown and not sent again', async () => {
  demo.desk.dropNextResponse = true;
  const key = { 'idempotency-key': 'trays-2' };
  const one = await post('/v1/services/orders/orders', { trays: 40 }, key);
  const two = await post('/v1/services/orders/orders', { trays: 40 }, key);
  assert.deepEqual(
    [one.headers.get('tanagercart-run'), two.headers.get('tanagercart-run')],
    ['unknown', 'unknown'],
  );
  assert.equal(demo.placements.get('trays-2'), 1);
});

test('a refused request is marked as not run', async () => {
  const refused = await post('/v1/completions', { ...completion, model: 'nothing' });
  assert.equal(refused.status, 404);
  assert.equal(refused.headers.get('tanagercart-run'), 'not-run');
});

test('a response is completed after a stage crashes', async () => {
  const answer = post('/v1/completions', completion);
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  const firstBusy = demo.engines.findIndex((e) => e.activeRuns > 0);
  demo.engines[firstBusy + 1]!.kill();
  const body = (await (await answer).json()) as { choices: { text: string }[] };
  assert.equal(body.choices[0]!.text, expected().join(''));
});

test('operators list and lift quarantined requests', async () => {
  const headers = { authorization: `Bearer ${demo.ready.operatorKey}` };
  const url = `${demo.ready.operators[0]}/operators/v1/quarantine`;
  const list = await fetch(url, { headers });
  assert.deepEqual(await list.json(), { quarantined: [] });
  const lift = (body: string) => fetch(`${url}/lift`, { method: 'POST', headers, body });
  assert.equal((await lift('fig')).status, 422);
  assert.deepEqual(await (await lift('0'.repeat(64))).json(), { lifted: false });
});

test('a request with resume tokens continues after them', async () => {
  const first = await post('/v1/completions', { ...completion, stream: true });
  await first.text();
  const model = first.headers.get('tanagercart-model');
  const resume = expected().slice(0, 5);
  const answer = await post('/v1/completions', { ...completion, model, resume });
  const body = (await answer.json()) as { choices: { text: string }[] };
  assert.equal(body.choices[0]!.text, expected().slice(5).join(''));
});

test('a resume for a version that no replica has is refused as not run', async () => {
  const answer = await post('/v1/completions', {
    ...completion,
    model: 'fig-advisor:0',
    resume: ['a'],
  });
  assert.equal(answer.status, 404);
  assert.equal(answer.headers.get('tanagercart-run'), 'not-run');
});
