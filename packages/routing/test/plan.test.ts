import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId, ReplicaId, UpstreamId } from '@tanagercart/base';
import type { Upstream } from '@tanagercart/state';
import { LinkTable, planReplicas, stagesOf, throughputBound, throughputOf } from '../src/index.js';

const model = { id: ModelId('fig'), layers: 4, versions: ['1'], adapters: [] };

const stage = (
  id: string,
  from: number,
  to: number,
  dataCentre = 'north',
  tokensPerSecond = 10,
): Upstream => ({
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
      tokensPerSecond,
      slots: 1,
    },
  },
});

const chains = (...upstreams: Upstream[]) =>
  planReplicas(model, upstreams, []).map((r) => r.stages);

test('a chain holds every layer once, within one data centre if possible', () => {
  const got = chains(stage('a', 0, 2), stage('b', 2, 4, 'south'), stage('c', 2, 4));
  assert.deepEqual(got, [['a', 'c']]);
});

test('stages with a gap between their layers form no chain', () => {
  assert.deepEqual(chains(stage('a', 0, 1), stage('b', 2, 4)), []);
});

test('a complete replica is kept when stages are added', () => {
  const first = [stage('a', 0, 2), stage('c', 2, 4)];
  const current = planReplicas(model, first, []);
  const got = planReplicas(model, [...first, stage('d', 0, 4)], current);
  assert.equal(got[0], current[0]);
  assert.equal(got.length, 2);
});

test('stages of similar throughput are combined', () => {
  const got = chains(
    stage('a', 0, 2, 'north', 10),
    stage('b', 0, 2, 'south', 90),
    stage('c', 2, 4, 'north', 90),
    stage('d', 2, 4, 'south', 10),
  );
  assert.deepEqual(got, [
    ['b', 'c'],
    ['a', 'd'],
  ]);
});

test('chains share the throughput of a slow link, and the plan reaches the bound', () => {
  const links = LinkTable.create([
    { between: ['north', 'south'], latencyMs: 1, tokensPerSecond: 15 },
  ]);
  const upstreams = [
    ...['a', 'b'].map((id) => stage(id, 0, 2, 'north')),
    ...['c', 'd'].map((id) => stage(id, 2, 4, 'south')),
  ];
  const stages = stagesOf(model, upstreams);
  const plan = planReplicas(model, upstreams, [], links);
  const byId = new Map(stages.map((s) => [s.upstream.id, s]));
  assert.equal(throughputBound(model, stages, links), 15);
  assert.equal(throughputOf(plan, byId, links), 15);
});

test('a complete replica stays if a plan from scratch gains little or nothing', () => {
  const slow = [stage('a', 0, 2, 'north', 10), stage('b', 2, 4, 'north', 10)];
  const current = planReplicas(model, slow, []);
  const even = planReplicas(model, [...slow, stage('c', 0, 2, 'north', 10.5)], current);
  assert.deepEqual(even, current);
  const fast = [stage('c', 0, 2, 'north', 90), stage('d', 0, 2, 'north', 10)];
  const bigger = planReplicas(model, [...slow, ...fast, stage('e', 2, 4, 'north', 90)], current);
  assert.equal(bigger[0], current[0]);
});

test('replicas are replaced only if a plan from scratch gains more than 10 %', () => {
  const crossed = [
    stage('a', 0, 2, 'north', 10),
    stage('b', 2, 4, 'north', 10),
    stage('c', 0, 2, 'north', 100),
    stage('d', 2, 4, 'north', 100),
  ];
  const [a, b, c, d] = crossed.map((s) => s.id);
  const replica = (id: string, ...stages: UpstreamId[]) => ({
    id: ReplicaId(id),
    model: model.id,
    stages,
  });
  const current = [replica('x', a!, d!), replica('y', c!, b!)];
  assert.deepEqual(
    planReplicas(model, crossed, current).map((r) => r.stages),
    [
      ['c', 'd'],
      ['a', 'b'],
    ],
  );
  const even = crossed.map((s, i) => stage(s.id, i % 2 === 0 ? 0 : 2, i % 2 === 0 ? 2 : 4));
  assert.deepEqual(planReplicas(model, even, current), current);
});
