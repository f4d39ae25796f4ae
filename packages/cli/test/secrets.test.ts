import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi, startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

/** Everything that is logged to standard error during `use`. */
async function loggedDuring(use: () => Promise<void>): Promise<string> {
  const { write } = process.stderr;
  let text = '';
  process.stderr.write = (chunk: string | Uint8Array) => {
    text += String(chunk);
    return true;
  };
  await use().finally(() => {
    process.stderr.write = write;
  });
  return text;
}

/** Answers, refusals, an order, a death in the middle of a stream, and operators' calls. */
async function useAll({ ready, engines }: Demo): Promise<void> {
  const [entry = ''] = ready.entries;
  const [operators = ''] = ready.operators;
  const ask = async (path: string, body: object, key = ready.keys.grower, headers = {}) => {
    const authorization = `Bearer ${key}`;
    const init = { method: 'POST', body: JSON.stringify(body) };
    const answer = await fetch(entry + path, { ...init, headers: { authorization, ...headers } });
    await answer.text();
  };
  const asked = { model: 'fig-advisor', prompt: 'dry?', max_tokens: 12 };
  await ask('/v1/completions', asked);
  await ask('/v1/completions', asked, 'nobodys-secret-key');
  await ask('/v1/completions', { ...asked, model: 'nothing' });
  await ask('/v1/services/orders/orders', { trays: 1 }, undefined, { 'idempotency-key': 'k' });
  engines[0]!.kill();
  await Promise.all([1, 2, 3, 4].map((seed) => ask('/v1/completions', { ...asked, seed })));
  await callOperatorApi(operators, ready.operatorKey, 'GET', '/operators/v1/status');
  await callOperatorApi(operators, 'wrong-operator-key', 'GET', '/operators/v1/status');
}

test('no key of a caller or an operator is logged, and each request line names its request', async () => {
  const log = await loggedDuring(async () => {
    const clock = SystemClock.create();
    const demo = await startDemo({ nodes: 3, clock, logLevel: 'debug' });
    await useAll(demo);
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
