import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId, UpstreamId } from '@tanagercart/base';
import type { Upstream } from '@tanagercart/state';
import { planChains } from '../src/index.js';

const model = { id: ModelId('fig'), layers: 4, versions: ['1'], adapters: [] };

const stage = (id: string, from: number, to: number, dataCentre = 'north'): Upstream => ({
  id: UpstreamId(id),
  incarnation: '1',
  url: `http://${id}`,
  dataCentre,
  role: {
    kind: 'stage',
    stage: {
      model: model.id,
      versions: ['1'],
      adapters: [],
      from,
      to,
      accelerator: 'a',
      tokensPerSecond: 10,
      slots: 1,
    },
  },
});

const chains = (...upstreams: Upstream[]) => planChains(model, upstreams, []).map((r) => r.stages);

test('a chain holds every layer once, in one data centre where it can', () => {
  const got = chains(stage('a', 0, 2), stage('b', 2, 4, 'south'), stage('c', 2, 4));
  assert.deepEqual(got, [['a', 'c']]);
});

test('stages that leave a gap make no chain', () => {
  assert.deepEqual(chains(stage('a', 0, 1), stage('b', 2, 4)), []);
});

test('a whole replica is kept when others come', () => {
  const first = [stage('a', 0, 2), stage('c', 2, 4)];
  const standing = planChains(model, first, []);
  const got = planChains(model, [...first, stage('d', 0, 4)], standing);
  assert.equal(got[0], standing[0]);
  assert.equal(got.length, 2);
});
