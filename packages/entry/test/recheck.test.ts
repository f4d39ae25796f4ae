import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  AccountId,
  HeldClock,
  ModelId,
  NodeId,
  PriceListId,
  TierId,
  digestOf,
  silentLogger,
} from '@tanagercart/base';
import { ConfigurationLease } from '@tanagercart/membership';
import { SharedState } from '@tanagercart/state';
import { Entry, createCallerServer } from '../src/index.js';
import type { EntryOptions } from '../src/index.js';
import { unlimited } from './unlimited.js';

const emptyPart = { priceLists: [], clientAccounts: [], models: [], services: [] };
const tier = {
  id: TierId('now'),
  urgency: 0,
  price: 1,
  firstTokenMs: 500,
  tokenGapMs: 80,
  concurrency: 8,
  requestsPerSecond: 10,
  tokensPerSecond: 900,
  retryBudget: 0.1,
};
const first = {
  ...emptyPart,
  priceLists: [{ id: PriceListId('trays'), tiers: [tier] }],
  clientAccounts: [
    {
      id: AccountId('grower'),
      priceList: PriceListId('trays'),
      defaultTier: tier.id,
      keyDigest: digestOf('key'),
      weight: 1,
    },
  ],
  models: [{ id: ModelId('fig'), layers: 8, versions: ['1'], adapters: [] }],
};

function fixture() {
  const clock = HeldClock.create();
  const state = SharedState.create();
  const note = { number: 1, author: 'ops', added: first, changed: emptyPart, withdrawn: emptyPart };
  state.apply(1, { kind: 'accept-release', note, digest: digestOf('1'), at: 0 });
  const lease = ConfigurationLease.create(clock);
  lease.renew(2000);
  const entry = Entry.create({
    self: NodeId('n1'),
    state,
    lease,
    clock,
    logger: silentLogger,
    metrics: { count: () => undefined },
    limits: {
      bodyBytes: 10_000,
      headerBytes: 10_000,
      promptBytes: 10_000,
      answerTokens: 100,
      requestMs: 60_000,
      unreadMs: 60_000,
    },
    entriesFor: () => ({ entries: [], lifetimeMs: 30_000 }),
    betterEntriesFor: () => undefined,
    accountLimits: unlimited,
    isDraining: () => false,
  } as unknown as EntryOptions);
  const broken: unknown[] = [];
  const server = createCallerServer(entry, (error) => {
    broken.push(error);
    server.closeAllConnections();
  });
  return { broken, clock, server, state };
}

/**
 * Sends a request, runs `meanwhile` once its headers and a part of the body have arrived, and then
 * sends the rest of the body.
 */
async function sendInTwoParts(
  path: string,
  f: ReturnType<typeof fixture>,
  meanwhile: () => Promise<void>,
  extraHeaders: Readonly<Record<string, string>> = {},
) {
  await new Promise<void>((resolve) => {
    f.server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = f.server.address() as AddressInfo;
  const headers = {
    authorization: 'Bearer key',
    'content-type': 'application/json',
    ...extraHeaders,
  };
  const taken = new Promise((resolve) => {
    f.server.once('request', resolve);
  });
  const req = request({ port, host: '127.0.0.1', path, method: 'POST', headers });
  req.write('{"model": "fig", ');
  await taken;
  await meanwhile();
  const answer = new Promise<{ status: number | undefined; run: unknown }>((resolve, reject) => {
    req.on('error', reject);
    req.on('response', (res) => {
      res.resume();
      resolve({ status: res.statusCode, run: res.headers['tanagercart-run'] });
    });
  });
  req.end('"prompt": "?", "max_tokens": 4}');
  const reply = await answer.finally(() => {
    f.server.closeAllConnections();
    f.server.close();
  });
  assert.deepEqual(f.broken, []);
  return reply;
}

// A node admits a request when its headers arrive. The lease can lapse and the release can change
// before the rest of the body does; the node must check both again then.
test('a request whose body ends after the lease has lapsed is not run', async () => {
  for (const path of ['/v1/completions', '/v1/services/orders/orders']) {
    const f = fixture();
    const reply = await sendInTwoParts(path, f, () => f.clock.advance(3000));
    assert.deepEqual(reply, { status: 503, run: 'not-run' }, path);
  }
});

// An earlier copy of the order may have been placed through another node.
test('a keyed order refused before its key is looked up is reported as run unknown', async () => {
  const f = fixture();
  const keyed = { 'idempotency-key': 'trays-17' };
  const reply = await sendInTwoParts(
    '/v1/services/orders/orders',
    f,
    () => f.clock.advance(3000),
    keyed,
  );
  assert.deepEqual(reply, { status: 503, run: 'unknown' });
});

test('a request is refused if its account is withdrawn before the body has arrived', async () => {
  const f = fixture();
  const reply = await sendInTwoParts('/v1/completions', f, async () => {
    const withdrawn = { ...emptyPart, clientAccounts: [AccountId('grower')] };
    const note = { number: 2, author: 'ops', added: emptyPart, changed: emptyPart, withdrawn };
    f.state.apply(2, { kind: 'accept-release', note, digest: digestOf('2'), at: 0 });
  });
  assert.deepEqual(reply, { status: 401, run: 'not-run' });
});
