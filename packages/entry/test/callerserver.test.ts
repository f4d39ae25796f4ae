import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { IncomingMessage, RequestOptions, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  InvariantError,
  HeldClock,
  NodeId,
  StatsdMetrics,
  digestOf,
  flushMicrotasks,
  silentLogger,
} from '@tanagercart/base';
import type { LogFields, Logger } from '@tanagercart/base';
import type { AnswerEvent, GenerationRequest } from '@tanagercart/dispatch';
import { ConfigurationLease } from '@tanagercart/membership';
import { applyNote, parseNote, Release } from '@tanagercart/release';
import { Entry, createCallerServer } from '../src/index.js';
import type { CallerLimits, EntryOptions } from '../src/index.js';
import { unlimited } from './unlimited.js';

const key = 'a-grower-key';

const note = `number = 1
author = "test"
[[added.priceLists]]
id = "standard"
[[added.priceLists.tiers]]
id = "urgent"
urgency = 0
price = 9.0
firstTokenMs = 690
tokenGapMs = 78
concurrency = 32
requestsPerSecond = 100
tokensPerSecond = 20000
[[added.clientAccounts]]
id = "grower"
priceList = "standard"
defaultTier = "urgent"
keyDigest = "${digestOf(key)}"
[[added.models]]
id = "fig"
layers = 8
versions = ["1"]
`;

const release = applyNote(Release.empty(), parseNote(note)._unsafeUnwrap())._unsafeUnwrap();

const smallLimits: CallerLimits = {
  bodyBytes: 400,
  headerBytes: 2048,
  promptBytes: 40,
  answerTokens: 100,
  requestMs: 30_000,
  unreadMs: 1000,
};

type Generate = (g: GenerationRequest, signal: AbortSignal) => AsyncIterable<AnswerEvent>;

async function* twoTokens(): AsyncGenerator<AnswerEvent> {
  yield { kind: 'tokens', tokens: ['dry '], index: 0 };
  yield { kind: 'tokens', tokens: ['figs'], index: 1 };
  yield { kind: 'end', reason: 'stop', tokens: 2 };
}

interface Setup {
  readonly generate?: Generate;
  readonly limits?: Partial<CallerLimits>;
  readonly logger?: Logger;
  readonly overrides?: Partial<EntryOptions>;
}

/** Starts a server for callers whose answers come from `generate`. */
async function startServer(t: TestContext, s: Setup = {}) {
  const clock = HeldClock.create();
  const lease = ConfigurationLease.create(clock);
  lease.renew(1e9);
  const metrics = StatsdMetrics.create();
  const broken: unknown[] = [];
  const entry = Entry.create({
    self: NodeId('n1'),
    state: { release, quarantine: { isQuarantined: () => false } },
    lease,
    dispatch: { generate: s.generate ?? twoTokens },
    clock,
    metrics,
    logger: s.logger ?? silentLogger,
    limits: { ...smallLimits, ...s.limits },
    entriesFor: () => ({ entries: ['http://other:1'], lifetimeMs: 30_000 }),
    betterEntriesFor: () => undefined,
    accountLimits: unlimited,
    isDraining: () => false,
    ...s.overrides,
  } as unknown as EntryOptions);
  const server = createCallerServer(entry, (e) => broken.push(e));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return { clock, metrics, broken, entry, server };
}

const portOf = (server: Server) => (server.address() as AddressInfo).port;

const sendRequest = (server: Server, options: RequestOptions = {}, body = '') =>
  new Promise<IncomingMessage>((resolve, reject) => {
    const headers = { authorization: `Bearer ${key}`, ...options.headers };
    const path = '/v1/completions';
    const to = { port: portOf(server), method: 'POST', path, ...options, headers };
    request(to, resolve).on('error', reject).end(body);
  });

const fetchAnswer = async (server: Server, body: object | string, options: RequestOptions = {}) => {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  const res = await sendRequest(server, options, text);
  let answer = '';
  for await (const chunk of res) answer += String(chunk);
  return { status: res.statusCode, headers: res.headers, body: answer };
};

const codeOf = (body: string) => (JSON.parse(body) as { error: { code: string } }).error.code;

const validBody = { model: 'fig', prompt: 'dry?' };

test('a request that exceeds a limit is refused with a code for it and not run', async (t) => {
  const { server, metrics } = await startServer(t);
  const answers = [
    await fetchAnswer(server, 'x'.repeat(500)),
    await fetchAnswer(server, 'x'.repeat(500), { headers: { 'transfer-encoding': 'chunked' } }),
    await fetchAnswer(server, { ...validBody, prompt: 'x'.repeat(50) }),
    await fetchAnswer(server, { ...validBody, max_tokens: 101 }),
    await fetchAnswer(server, validBody, { headers: { 'x-long': 'x'.repeat(4000) } }),
    await fetchAnswer(server, '{'),
    await fetchAnswer(server, validBody, { path: '/v1/none' }),
  ];
  assert.deepEqual(
    answers.map((a) => [a.status, codeOf(a.body), a.headers['tanagercart-run']]),
    [
      [413, 'too-large', 'not-run'],
      [413, 'too-large', 'not-run'],
      [413, 'prompt-too-large', 'not-run'],
      [413, 'too-large', 'not-run'],
      [431, 'headers-too-large', 'not-run'],
      [400, 'malformed', 'not-run'],
      [404, 'not-found', 'not-run'],
    ],
  );
  assert.equal(metrics.read('refused'), answers.length);
});

test('a request that does not arrive in time is refused', async (t) => {
  const { server } = await startServer(t, { limits: { requestMs: 40 } });
  const socket = connect(portOf(server), '127.0.0.1');
  const lines = ['POST /v1/completions HTTP/1.1', 'host: x', `authorization: Bearer ${key}`];
  socket.write([...lines, 'content-length: 9', '', '{'].join('\r\n'));
  let answer = '';
  for await (const chunk of socket) answer += String(chunk);
  assert.match(answer, /^HTTP\/1\.1 408 /);
  assert.match(answer, /"code":"request-timeout".*"run":"not-run"/);
});

test('a caller that does not read is disconnected, and its generation is cancelled', async (t) => {
  let ended = false;
  async function* endlessAnswer(): AsyncGenerator<AnswerEvent> {
    try {
      for (let index = 0; ; index += 1) {
        yield { kind: 'tokens', tokens: ['x'.repeat(65_536)], index };
      }
    } finally {
      ended = true;
    }
  }
  const { server, clock, metrics, entry } = await startServer(t, { generate: endlessAnswer });
  const res = await sendRequest(server, {}, JSON.stringify({ ...validBody, stream: true }));
  res.pause();
  res.on('error', () => undefined);
  while (!ended) await clock.advance(100);
  await entry.activeRequests.untilIdle();
  assert.equal(metrics.read('refused', { reason: 'slow-reader' }), 1);
});

test('a generation is cancelled when its caller disconnects', async (t) => {
  let signal: AbortSignal | undefined;
  async function* stalledAnswer(_: GenerationRequest, s: AbortSignal): AsyncGenerator<AnswerEvent> {
    signal = s;
    yield { kind: 'tokens', tokens: ['dry '], index: 0 };
    await new Promise((resolve) => {
      s.addEventListener('abort', resolve);
    });
  }
  const { server, entry } = await startServer(t, { generate: stalledAnswer });
  const res = await sendRequest(server, {}, JSON.stringify({ ...validBody, stream: true }));
  res.on('error', () => undefined);
  res.destroy();
  await entry.activeRequests.untilIdle();
  assert.equal(signal!.aborted, true);
});

test('a refusal within a stream is an error event', async (t) => {
  async function* failingAnswer(): AsyncGenerator<AnswerEvent> {
    yield { kind: 'tokens', tokens: ['dry '], index: 0 };
    const message = 'every attempt failed';
    const refusal = { reason: 'upstream-failed', run: 'unknown', message } as const;
    yield { kind: 'refused', refusal: { ...refusal, retryAfterMs: undefined } };
  }
  const { server } = await startServer(t, { generate: failingAnswer });
  const answer = await fetchAnswer(server, { ...validBody, stream: true });
  const events = answer.body.trim().split('\n\n');
  assert.equal(answer.status, 200);
  assert.equal(events.length, 2);
  assert.match(events[1]!, /^data: \{"error":\{"code":"upstream-failed",.*"run":"unknown"/);
});

test('an error fails only its own request; a broken invariant is reported', async (t) => {
  const errors = [new TypeError('a bug'), new InvariantError('tokens are passed on in order')];
  const generate = () => {
    throw errors.shift()!;
  };
  const { server, broken } = await startServer(t, { generate });
  const first = await fetchAnswer(server, validBody);
  assert.deepEqual([first.status, codeOf(first.body)], [500, 'internal']);
  assert.equal(first.headers['tanagercart-run'], 'unknown');
  assert.equal(broken.length, 0);
  await fetchAnswer(server, validBody);
  assert.ok(broken[0] instanceof InvariantError);
});

test('log lines contain no keys, and name the request and the account', async (t) => {
  const lines: LogFields[] = [];
  const write = (sentence: string, fields: LogFields = {}) => lines.push({ sentence, ...fields });
  const logger: Logger = {
    debug: write,
    info: write,
    warn: write,
    error: write,
    part: () => logger,
  };
  const { server } = await startServer(t, { logger });
  await fetchAnswer(server, validBody);
  await fetchAnswer(server, { ...validBody, model: 'none' });
  await fetchAnswer(server, validBody, { headers: { authorization: 'Bearer not-a-known-key' } });
  await flushMicrotasks();
  assert.deepEqual(
    lines.map((l) => [l.sentence, l.account, l.reason]),
    [
      ['Answered.', 'grower', undefined],
      ['Refused.', 'grower', 'unknown-model'],
      ['Refused.', undefined, 'unauthorised'],
    ],
  );
  assert.notEqual(lines[0]!.request, undefined);
  assert.ok(!/a-grower-key|not-a-known-key/.test(JSON.stringify(lines)));
});

test('an announcement needs the key of the upstreams if one is set', async (t) => {
  const handleAnnouncement = async () => ({ heartbeatMs: 500, to: [] });
  const overrides = { upstreamKey: 'upstream-key', upstreams: { handleAnnouncement } as never };
  const { server } = await startServer(t, { overrides });
  const role = { kind: 'service', service: 'orders' };
  const body = { id: 'd1', incarnation: '1', url: 'http://127.0.0.1:1', dataCentre: 'n', role };
  const path = '/upstreams/v1/announce';
  const send = (authorization: string) =>
    fetchAnswer(server, body, { path, headers: { authorization } });
  const answers = [await send('Bearer upstream-key'), await send('Bearer other')];
  assert.deepEqual(
    answers.map((a) => a.status),
    [200, 401],
  );
});

test('bytes that are no request cut no answer in progress', async (t) => {
  let proceed = () => {};
  const proceeding = new Promise<void>((resolve) => {
    proceed = resolve;
  });
  async function* generate() {
    await proceeding;
    yield* twoTokens();
  }
  const { server } = await startServer(t, { generate });
  const socket = connect(portOf(server), '127.0.0.1');
  t.after(() => socket.destroy());
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  const body = JSON.stringify(validBody);
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer ${key}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  await sleep(100);
  socket.write('\0 no request\r\n\r\n');
  await sleep(100);
  proceed();
  await closed;
  assert.match(received, /^HTTP\/1.1 200 OK\r\n/);
  assert.match(received, /dry figs/);
  assert.equal(received.match(/HTTP\/1.1/g)?.length, 1);
});
