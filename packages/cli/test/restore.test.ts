import assert from 'node:assert/strict';
import { cp, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import { callOperatorApi } from '../src/operator.js';
import { restoreDataFolder, smallPlan, startDemo } from '../src/index.js';

const clock = SystemClock.create();

test('the release is restored from a copy of one data folder, and voters can be added', async (t) => {
  const data = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const copies = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const remove = (folder: string) => rm(folder, { recursive: true, force: true });
  const before = await startDemo({ nodes: 3, clock, data });
  const { number } = before.nodes[0]!.history.state.release;
  await before.stop();
  await cp(join(data, 'n1'), join(copies, 'n1'), { recursive: true });
  const [settings] = smallPlan(3).settings;
  const node = { ...settings!.node, data: join(copies, 'n1') };
  assert.ok((await restoreDataFolder({ ...settings!, node })).isOk());
  const after = await startDemo({ nodes: 3, clock, data: copies });
  t.after(async () => {
    await after.stop();
    await Promise.all([data, copies].map(remove));
  });
  assert.equal(after.nodes[2]!.history.state.release.number, number);
  const [url] = after.ready.operators;
  const body = JSON.stringify({ action: 'add', node: 'n2' });
  const path = '/operators/v1/voters';
  const added = await callOperatorApi(url!, after.ready.operatorKey, 'POST', path, body);
  assert.equal(added._unsafeUnwrap().status, 200);
});
