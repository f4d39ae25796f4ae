import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi } from '../src/operator.js';
import { startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

const clock = SystemClock.create();

async function demoOf(t: TestContext, nodes: number, data?: string) {
  const demo = await startDemo({ nodes, clock, ...(data === undefined ? {} : { data }) });
  t.after(() => demo.stop());
  return demo;
}

async function placeOrder(demo: Demo, key: string) {
  const answer = await fetch(`${demo.ready.entries[0]}/v1/services/orders/orders`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${demo.ready.keys.grower}`,
      'idempotency-key': key,
    },
    body: JSON.stringify({ trays: 40 }),
  });
  return { status: answer.status, body: await answer.text() };
}

function callOperator(demo: Demo, method: 'GET' | 'POST', path: string, body?: object) {
  const [url] = demo.ready.operators;
  return callOperatorApi(url!, demo.ready.operatorKey, method, path, JSON.stringify(body));
}

test('an order is not placed again after a restart of all nodes', async (t) => {
  const data = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const before = await startDemo({ nodes: 3, clock, data });
  const placed = await placeOrder(before, 'trays-1');
  assert.equal(before.placements.get('trays-1'), 1);
  await before.stop();
  const after = await demoOf(t, 3, data);
  assert.deepEqual(await placeOrder(after, 'trays-1'), placed);
  assert.equal(after.placements.size, 0);
  t.after(() => rm(data, { recursive: true, force: true }));
});

test('operators can add a voter and remove the leader', async (t) => {
  const demo = await demoOf(t, 4);
  const voters = async () => {
    const shown = (await callOperator(demo, 'GET', '/operators/v1/voters'))._unsafeUnwrap();
    return (shown.body as { voters: { id: string }[] }).voters.map((v) => v.id).sort();
  };
  const change = async (action: string, node: string) =>
    (await callOperator(demo, 'POST', '/operators/v1/voters', { action, node }))._unsafeUnwrap()
      .status;
  assert.deepEqual(await voters(), ['n1', 'n2', 'n3']);
  assert.equal(await change('add', 'n4'), 200);
  const status = (await callOperator(demo, 'GET', '/operators/v1/status'))._unsafeUnwrap();
  const { leader } = status.body as { leader: string };
  assert.equal(await change('remove', leader), 200);
  assert.deepEqual(
    await voters(),
    ['n1', 'n2', 'n3', 'n4'].filter((n) => n !== leader),
  );
  assert.equal(await change('add', 'nobody'), 409);
  assert.equal(await change('paint', 'n1'), 400);
});
