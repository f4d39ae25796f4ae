import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { AccountId, ServiceId } from '@tanagercart/base';
import {
  RouteId,
  RoutingTable,
  applyDelta,
  deltaOf,
  pickService,
  validateConfiguration,
} from '../src/index.js';
import type { Configuration, Route } from '../src/index.js';

const desk = ServiceId('desk');

function route(id: string, prefix: string, overrides: Partial<Route> = {}): Route {
  return {
    id: RouteId(id),
    host: 'figs.example',
    prefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyTargetMs: 300,
    maxEventGapMs: undefined,
    priority: 1,
    shares: [{ service: desk, weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    ...overrides,
  };
}

function config(routes: readonly Route[], overrides: Partial<Configuration> = {}): Configuration {
  return {
    version: 1,
    routes,
    services: [{ id: desk, maxConnections: 10, engine: undefined }],
    accounts: [{ id: AccountId('quay'), keys: ['k1', 'k2'], priority: 1 }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 1048576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    ...overrides,
  };
}

test('the longest prefix selects the route', () => {
  const table = RoutingTable.create(
    config([route('a', '/'), route('b', '/x/'), route('c', '/x/y/')]),
  );
  assert.equal(table.routeOf('figs.example', '/x/y/z?q=/x/')?.id, 'c');
  assert.equal(table.routeOf('figs.example', '/x/yy')?.id, 'b');
  assert.equal(table.routeOf('figs.example', '/x')?.id, 'a');
  assert.equal(table.routeOf('dates.example', '/x/'), undefined);
});

test('each key of an account identifies it', () => {
  const table = RoutingTable.create(config([]));
  assert.equal(table.accountOf('k2')?.id, 'quay');
  assert.equal(table.accountOf('k3'), undefined);
});

test('each violated constraint is reported', () => {
  const other = ServiceId('other');
  const faultsOf = (c: Configuration) => validateConfiguration(c).map((p) => p.what);
  assert.deepEqual(faultsOf(config([route('a', '/a/')])), []);
  assert.deepEqual(
    faultsOf(config([route('a', '/a/', { shares: [{ service: other, weight: 1 }] })])),
    ['service other is unknown'],
  );
  assert.deepEqual(faultsOf(config([route('a', '/a/'), route('b', '/a/')])), [
    'figs.example/a/ is taken by a',
  ]);
  assert.deepEqual(
    faultsOf(config([route('a', '/a/', { shares: [{ service: desk, weight: 0 }] })])),
    ['weights add up to 0'],
  );
  assert.deepEqual(faultsOf(config([route('a', '/a/', { timeoutMs: 0 })])), ['timeout is 0']);
  const accounts = ['x', 'y'].map((id) => ({ id: AccountId(id), keys: ['k'], priority: 1 }));
  assert.deepEqual(faultsOf(config([], { accounts })), ['shares a key with account x']);
});

test('services are picked by weight', () => {
  const shares = [
    { service: desk, weight: 90 },
    { service: ServiceId('spare'), weight: 10 },
  ];
  const split = route('a', '/a/', { shares });
  assert.equal(pickService(split, 0), 'desk');
  assert.equal(pickService(split, 0.89), 'desk');
  assert.equal(pickService(split, 0.95), 'spare');
});

test('applying a delta restores the text', () => {
  const texts = fc.array(fc.constantFrom('{"a":1}', ',', '{"b":2},', 'x', '},{'), {
    maxLength: 40,
  });
  fc.assert(
    fc.property(texts, texts, (a, b) => {
      const [base, text] = [a.join(''), b.join('')];
      assert.equal(applyDelta(base, deltaOf(base, text)), text);
    }),
  );
});

test('a delta is small if little changed', () => {
  const routes = Array.from({ length: 400 }, (_, i) => `{"name":"r${i}","timeoutMs":${i}},`);
  const base = routes.join('');
  const text = base.replace('"timeoutMs":7}', '"timeoutMs":8}');
  assert.ok(JSON.stringify(deltaOf(base, text)).length < 200);
});
