import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { smallPlan, startDemo } from '../src/index.js';
import type { Demo } from '../src/index.js';

const clock = SystemClock.create();

function demoWithConcurrency(nodes: number, concurrency: number) {
  const plan = smallPlan(nodes);
  const note = plan.note.replace(/concurrency = \d+/, `concurrency = ${concurrency}`);
  return startDemo({ plan: { ...plan, note }, clock });
}

function complete(demo: Demo, entry: number, prompt: string) {
  return fetch(`${demo.ready.entries[entry]}/v1/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${demo.ready.keys.grower}`,
    },
    body: JSON.stringify({ model: 'fig-advisor', prompt, max_tokens: 12 }),
  });
}

test('the concurrency limit of an account holds across entries and is released afterwards', async (t) => {
  const demo = await demoWithConcurrency(3, 2);
  t.after(() => demo.stop());
  const answers = await Promise.all([0, 1, 2].map((i) => complete(demo, i, `prompt ${i}`)));
  const statuses = answers.map((a) => a.status).sort();
  assert.deepEqual(statuses, [200, 200, 429]);
  const refused = answers.find((a) => a.status === 429)!;
  assert.equal(refused.headers.get('tanagercart-run'), 'not-run');
  assert.ok(Number(refused.headers.get('retry-after')) >= 1);
  await Promise.all(answers.map((a) => a.text()));
  assert.equal((await complete(demo, 0, 'after')).status, 200);
});
