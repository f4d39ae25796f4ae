import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi } from '../src/operator.js';
import { startDemo } from '../src/index.js';

const clock = SystemClock.create();

test('a withdrawn model finishes the requests in progress and accepts no new ones', async (t) => {
  const demo = await startDemo({ nodes: 3, clock });
  t.after(() => demo.stop());
  const { entries, keys, operators, operatorKey } = demo.ready;
  const complete = (prompt: string) =>
    fetch(`${entries[1]}/v1/completions`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${keys.grower}`,
      },
      body: JSON.stringify({ model: 'fig-advisor', prompt, max_tokens: 20 }),
    });
  const stall = (stalled: boolean) => {
    for (const engine of demo.engines) engine.faults.stalled = stalled;
  };
  stall(true);
  const early = complete('begun before');
  while (demo.engines.every((e) => e.activeRuns === 0)) await clock.sleep(5);
  const note = 'number = 2\nauthor = "ops"\n[withdrawn]\nmodels = ["fig-advisor"]\n';
  const path = '/operators/v1/releases';
  const submitted = callOperatorApi(operators[0]!, operatorKey, 'POST', path, note);
  while (demo.nodes.some((n) => n.history.state.release.number < 2)) await clock.sleep(5);
  stall(false);
  const body = (await (await early).json()) as { choices: { finish_reason: string }[] };
  assert.match(body.choices[0]!.finish_reason, /stop|length/);
  assert.equal((await submitted)._unsafeUnwrap().status, 200);
  const late = await complete('asked after');
  assert.deepEqual([late.status, late.headers.get('tanagercart-run')], [404, 'not-run']);
});
