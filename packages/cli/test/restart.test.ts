import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi, formatStatus, startDemo } from '../src/index.js';
import type { Demo, Status } from '../src/index.js';

/** Runs the demo on the state below `data` and drains it after `use`. */
async function run<T>(data: string, use: (demo: Demo) => Promise<T>): Promise<T> {
  const demo = await startDemo({ nodes: 3, data, clock: SystemClock.create() });
  const result = await use(demo);
  await demo.drain();
  return result;
}

async function withDataFolder<T>(use: (data: string) => Promise<T>): Promise<T> {
  const data = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  try {
    return await use(data);
  } finally {
    await rm(data, { recursive: true });
  }
}

const post = ({ ready }: Demo, path: string, body: object, headers = {}) =>
  fetch(ready.entries[0] + path, {
    method: 'POST',
    headers: { authorization: `Bearer ${ready.keys.grower}`, ...headers },
    body: JSON.stringify(body),
  });

const placeOrder = (demo: Demo) =>
  post(demo, '/v1/services/orders/orders', { trays: 40 }, { 'idempotency-key': 'trays-17' });

const completionStatus = async (demo: Demo) => {
  const completion = { model: 'fig-advisor', prompt: 'dry?', max_tokens: 4 };
  return (await post(demo, '/v1/completions', completion)).status;
};

async function statusOf({ ready }: Demo): Promise<Status> {
  const [url = ''] = ready.operators;
  const answered = await callOperatorApi(url, ready.operatorKey, 'GET', '/operators/v1/status');
  return answered._unsafeUnwrap().body as Status;
}

test('a restart keeps the release and the orders, and serves once it is ready', async () => {
  await withDataFolder(async (data) => {
    const first = await run(data, async (demo) => [
      (await placeOrder(demo)).status,
      demo.placements,
    ]);
    assert.deepEqual(first, [201, new Map([['trays-17', 1]])]);
    const second = await run(data, async (demo) => ({
      order: (await placeOrder(demo)).status,
      placements: demo.placements.size,
      answer: await completionStatus(demo),
      release: (await statusOf(demo)).release,
    }));
    assert.deepEqual(second, { order: 201, placements: 0, answer: 200, release: 1 });
  });
});

test('the status is formatted as tables', async () => {
  await withDataFolder(async (data) => {
    const table = formatStatus(await run(data, statusOf));
    assert.match(table, /n1 +\S+ +(leader|voter)/);
    assert.match(table, /desk-1 +north-1 +http/);
  });
});
