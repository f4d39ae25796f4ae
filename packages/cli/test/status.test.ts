import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi, startDemo } from '../src/index.js';
import { formatStatus } from '../src/statustable.js';
import type { Status } from '../src/statustable.js';

const clock = SystemClock.create();

test('the status shows the role of each node, whether a voter or another node reports it', async (t) => {
  const demo = await startDemo({ nodes: 4, clock });
  t.after(() => demo.stop());
  const { operators, operatorKey } = demo.ready;
  for (const [i, url] of operators.entries()) {
    const answer = await callOperatorApi(url, operatorKey, 'GET', '/operators/v1/status');
    const shown = formatStatus(answer._unsafeUnwrap().body as Status);
    assert.match(shown, new RegExp(`^As node n${i + 1} knows it; release 1 is in force`));
    const roles = [...shown.matchAll(/^n\d +\S+ +(leader|voter) /gm)].map(([, role]) => role);
    assert.deepEqual(roles.sort(), ['leader', 'voter', 'voter'], shown);
  }
});

test('the status distinguishes learners from voters', () => {
  const node = (id: string) => ({ id, dataCentre: 'north', entry: 'http://e' });
  const voters = { voters: [{ id: 'n1' }], learners: [{ id: 'n2' }] };
  const fields = { node: 'n1', release: 1, draining: false, logFailed: false };
  const empty = { replicas: [], upstreams: [] };
  const status = { ...fields, ...voters, nodes: [node('n1'), node('n2')], ...empty };
  const shown = formatStatus(status);
  assert.match(shown, /^n1 +north +voter +http/m);
  assert.match(shown, /^n2 +north +learner +http/m);
});

test('the status shows the queues of replica owners by tier', async (t) => {
  const demo = await startDemo({ nodes: 1, clock });
  t.after(() => demo.stop());
  const { operators, operatorKey, entries, keys } = demo.ready;
  const body = JSON.stringify({ model: 'fig-advisor', prompt: 'figs', stream: true });
  const headers = {
    'content-type': 'application/json',
    authorization: `Bearer ${keys.grower}`,
  };
  const stall = (stalled: boolean) => {
    for (const engine of demo.engines) engine.faults.stalled = stalled;
  };
  const readStatus = async () => {
    const response = await callOperatorApi(
      operators[0]!,
      operatorKey,
      'GET',
      '/operators/v1/status',
    );
    return response._unsafeUnwrap().body as Status;
  };
  stall(true);
  const answer = fetch(`${entries[0]}/v1/completions`, { method: 'POST', headers, body });
  let status = await readStatus();
  while (status.queues?.length === 0) status = await readStatus();
  stall(false);
  await (await answer).text();
  assert.deepEqual(status.queues, [{ tier: 'urgent', waiting: 0, running: 1 }]);
  assert.match(formatStatus(status), /^urgent +0 +1$/m);
});
