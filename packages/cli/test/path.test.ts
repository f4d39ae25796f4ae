import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { expectedAnswer } from '@tanagercart/standin';
import { runDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

let demo: Demo;

before(async () => {
  demo = await runDemo({ nodes: 2, clock: SystemClock.create() });
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

const asked = { model: 'fig-advisor', prompt: 'How long do figs dry?', seed: 3, max_tokens: 12 };

const expected = () =>
  expectedAnswer(
    { model: 'fig-advisor', version: '1', adapter: undefined, prompt: asked.prompt, seed: 3 },
    8,
    12,
  );

test('a request is answered whole through a chain of stages', async () => {
  const answer = await post('/v1/completions', asked);
  const body = (await answer.json()) as { choices: { text: string }[] };
  assert.equal(answer.status, 200);
  assert.equal(body.choices[0]!.text, expected().join(''));
});

test('a request is answered as a stream', async () => {
  const answer = await post('/v1/completions', { ...asked, stream: true });
  const events = (await answer.text()).split('\n\n').filter((e) => e.startsWith('data: {'));
  const texts = events.map((e) => JSON.parse(e.slice(6)).choices[0].text as string);
  assert.equal(texts.join(''), expected().join(''));
});

test('an order is placed once, and a resend gets its answer', async () => {
  const key = { 'idempotency-key': 'trays-1' };
  const one = await post('/v1/services/orders/orders', { trays: 40 }, key);
  const two = await post('/v1/services/orders/orders', { trays: 40 }, key);
  assert.deepEqual([one.status, two.status], [201, 201]);
  assert.equal(demo.placements.get('trays-1'), 1);
  const other = await post('/v1/services/orders/orders', { trays: 41 }, key);
  assert.equal(other.status, 409);
});

test('an order whose answer was lost is unknown, and never sent again', async () => {
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

test('a refusal says that the request was not run', async () => {
  const refused = await post('/v1/completions', { ...asked, model: 'nothing' });
  assert.equal(refused.status, 404);
  assert.equal(refused.headers.get('tanagercart-run'), 'not-run');
});

test('a stream goes on when a stage dies', async () => {
  const answer = post('/v1/completions', asked);
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  const busy = demo.engines.findIndex((e) => e.activeRuns > 0);
  demo.engines[busy + 1]!.kill();
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

test('another entry goes on after the tokens that the caller names', async () => {
  const first = await post('/v1/completions', { ...asked, stream: true });
  await first.text();
  const model = first.headers.get('tanagercart-model');
  const resume = expected().slice(0, 5);
  const answer = await post('/v1/completions', { ...asked, model, resume });
  const body = (await answer.json()) as { choices: { text: string }[] };
  assert.equal(body.choices[0]!.text, expected().slice(5).join(''));
});

test('a resume under a version that is not held is refused not-run', async () => {
  const answer = await post('/v1/completions', { ...asked, model: 'fig-advisor:0', resume: ['a'] });
  assert.equal(answer.status, 404);
  assert.equal(answer.headers.get('tanagercart-run'), 'not-run');
});
