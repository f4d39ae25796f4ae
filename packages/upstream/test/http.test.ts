import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { test } from 'node:test';
import { GrantId, ModelId, RequestId, UpstreamId } from '@tanagercart/base';
import { HttpEngineClient, HttpServiceClient, createPool } from '../src/index.js';
import type { RunEvent, RunOrder } from '../src/index.js';

const line = (value: object) => `${JSON.stringify(value)}\n`;
const token = (index: number, text: string) =>
  line({ t: 'token', request: 'r', attempt: 1, index, token: text, receipts: [] });
const end = line({ t: 'end', reason: 'stop' });

const orderTo = (url: string): RunOrder => ({
  ...{ request: RequestId('r'), attempt: 1, grant: GrantId('g'), fence: 1, priority: 0 },
  ...{ model: ModelId('fig'), version: '1', adapter: undefined, prompt: 'dry?', passed: [] },
  ...{ seed: 0, maxTokens: 9, chain: [{ upstream: UpstreamId('u'), url, from: 0, to: 8 }] },
});

/** The events of a run. The engine sends each chunk after the previous event was read. */
async function runEvents(...chunks: readonly Buffer[]): Promise<readonly RunEvent[]> {
  const remaining = [...chunks];
  let send = () => {};
  const server = createServer((_, res) => {
    send = () => {
      const next = remaining.shift();
      if (next) res.write(next);
      else res.end();
    };
    send();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const pool = createPool();
  const { port } = server.address() as AddressInfo;
  const order = orderTo(`http://127.0.0.1:${port}`);
  const events: RunEvent[] = [];
  for await (const e of HttpEngineClient.create(pool).run(order, new AbortController().signal)) {
    events.push(e);
    send();
  }
  await pool.destroy();
  server.close();
  return events;
}

const summarize = (events: readonly RunEvent[]) =>
  events.map((e) => (e.kind === 'tokens' ? e.frames.map((f) => f.token) : e.kind));

test('the frames of one chunk arrive as one event, followed by the end of the run', async () => {
  const events = await runEvents(Buffer.from(token(0, 'dry ') + token(1, 'figs') + end));
  assert.deepEqual(summarize(events), [['dry ', 'figs'], 'end']);
});

test('a frame that is split within a UTF-8 character is held until the rest arrives', async () => {
  const whole = Buffer.from(token(0, 'dry ') + token(1, 'ß') + end);
  const cut = whole.indexOf('ß') + 1;
  const events = await runEvents(whole.subarray(0, cut), whole.subarray(cut));
  assert.deepEqual(summarize(events), [['dry '], ['ß'], 'end']);
});

test('a stream that closes without a final frame counts as failed', async () => {
  const events = await runEvents(Buffer.from(token(0, 'dry ')));
  assert.deepEqual(summarize(events), [['dry '], 'failed']);
});

/** Sends `count` calls to a service that ends its answers, which have no length, by `finish`. */
async function callService(
  count: number,
  once: boolean,
  finish: (socket: Socket, server: Server) => void,
) {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nfigs');
      finish(socket, server);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const pool = createPool();
  const client = HttpServiceClient.create(pool);
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/desk`;
  const outcomes = new Map<string, number>();
  for (let i = 0; i < count; i += 1) {
    const answer = await client.send({
      url,
      method: 'POST',
      headers: {},
      body: Buffer.from('x'),
      once,
    });
    const outcome = answer.isOk() ? answer.value.body : answer.error.kind;
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  await pool.destroy();
  server.close();
  return Object.fromEntries(outcomes);
}

// Guards against a part of an answer that passes as the whole: undici takes a reset for an end.
test('an answer of a service without a length is lost where its connection is reset', async () => {
  const resets: readonly ((socket: Socket) => void)[] = [
    (socket) => socket.resetAndDestroy(),
    (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
  ];
  for (const once of [true, false]) {
    for (const reset of resets) {
      assert.deepEqual(await callService(100, once, reset), { lost: 100 });
    }
    assert.deepEqual(await callService(100, once, (socket) => socket.end()), { figs: 100 });
  }
});

// Guards against the connection of a killed service passing for the end of its answer.
test('an answer of a service without a length is lost where the service ends with it', async () => {
  const stop = (socket: Socket, server: Server) => {
    server.close();
    socket.end();
  };
  assert.deepEqual(await callService(1, true, stop), { lost: 1 });
  assert.deepEqual(await callService(1, true, (socket) => socket.end()), { figs: 1 });
});

// Guards against sendings that nobody decides on: the client sends a call once.
test('a repeatable call whose answer has no length on a shared connection is lost, and not sent again', async () => {
  let arrivals = 0;
  const outcomes: string[] = [];
  const server = createServer((request, response) => {
    arrivals += 1;
    if (arrivals === 2) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, arrivals === 2 ? { Connection: 'close' } : { 'Content-Length': 4 });
    response.end('figs');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const pool = createPool();
  const client = HttpServiceClient.create(pool);
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/desk`;
  const call = { url, method: 'GET', headers: {}, body: Buffer.alloc(0), once: false } as const;
  for (let i = 0; i < 3; i += 1) {
    const answer = await client.send(call);
    outcomes.push(answer.isOk() ? answer.value.body : answer.error.kind);
  }
  await pool.destroy();
  server.close();
  assert.deepEqual(outcomes, ['figs', 'lost', 'figs']);
  assert.equal(arrivals, 3);
});
