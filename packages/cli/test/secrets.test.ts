import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi, startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

/** Returns everything that is written to standard error during `run`. */
async function captureLog(run: () => Promise<void>): Promise<string> {
  const { write } = process.stderr;
  let text = '';
  process.stderr.write = (chunk: string | Uint8Array) => {
    text += String(chunk);
    return true;
  };
  await run().finally(() => {
    process.stderr.write = write;
  });
  return text;
}

/** Sends served and refused requests, an order, requests to a crashed stage and operator calls. */
async function exerciseDemo({ ready, engines }: Demo): Promise<void> {
  const [entry = ''] = ready.entries;
  const [operators = ''] = ready.operators;
  const post = async (path: string, body: object, key = ready.keys.grower, headers = {}) => {
    const authorization = `Bearer ${key}`;
    const init = { method: 'POST', body: JSON.stringify(body) };
    const answer = await fetch(entry + path, { ...init, headers: { authorization, ...headers } });
    await answer.text();
  };
  const completion = { model: 'fig-advisor', prompt: 'dry?', max_tokens: 12 };
  await post('/v1/completions', completion);
  await post('/v1/completions', completion, 'nobodys-secret-key');
  await post('/v1/completions', { ...completion, model: 'nothing' });
  await post('/v1/services/orders/orders', { trays: 1 }, undefined, { 'idempotency-key': 'k' });
  engines[0]!.kill();
  await Promise.all([1, 2, 3, 4].map((seed) => post('/v1/completions', { ...completion, seed })));
  await callOperatorApi(operators, ready.operatorKey, 'GET', '/operators/v1/status');
  await callOperatorApi(operators, 'wrong-operator-key', 'GET', '/operators/v1/status');
}

test('no key of a caller or operator is logged, and lines about requests name their request', async () => {
  const log = await captureLog(async () => {
    const clock = SystemClock.create();
    const demo = await startDemo({ nodes: 3, clock, logLevel: 'debug' });
    await exerciseDemo(demo);
    await demo.drain();
  });
  const lines = log
    .split('\n')
    .filter((l) => l.startsWith('{'))
    .map((l) => JSON.parse(l) as Record<string, unknown>);
  const answered = lines.filter((l) => /Answered|Attempt failed/.test(String(l.msg)));
  assert.ok(answered.length > 0);
  assert.ok(answered.every((l) => l.account === 'grower' && typeof l.request === 'string'));
  for (const secret of ['demo-grower-key', 'demo-operator-key', 'nobodys-', 'wrong-operator']) {
    assert.ok(!log.includes(secret), secret);
  }
});
