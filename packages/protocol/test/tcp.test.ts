import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { NodeId, SystemClock, silentLogger } from '@tanagercart/base';
import { holdUp } from '@tanagercart/base/test';
import { TcpTransport } from '../src/index.js';

const a = NodeId('a');
const b = NodeId('b');

function createTransport(self: NodeId, ports: Map<NodeId, number>, cluster = 'test') {
  return TcpTransport.create({
    self,
    cluster,
    clock: SystemClock.create(),
    logger: silentLogger,
    resolve: (n) => (ports.has(n) ? `127.0.0.1:${ports.get(n)}` : undefined),
    onBroken: (e) => {
      throw e;
    },
  });
}

async function listeningTransport(self: NodeId, ports: Map<NodeId, number>, cluster?: string) {
  const t = createTransport(self, ports, cluster);
  ports.set(self, (await t.listen('127.0.0.1', 0))._unsafeUnwrap());
  return t;
}

test('the handler of the called node replies to a call', async () => {
  const ports = new Map<NodeId, number>();
  const [one, two] = [await listeningTransport(a, ports), await listeningTransport(b, ports)];
  two.serve('transfer', async (from, call) => ({ ok: from === a && call.term === 7 }));
  const reply = await one.call(b, 'transfer', { term: 7 }, { timeoutMs: 5000 });
  assert.deepEqual(reply._unsafeUnwrap(), { ok: true });
  await Promise.all([one.close(), two.close()]);
});

test('a call to a closed port fails as unreachable, as it was not received', async () => {
  const ports = new Map<NodeId, number>();
  const two = await listeningTransport(b, ports);
  await two.close();
  const one = await listeningTransport(a, ports);
  const reply = await one.call(b, 'transfer', { term: 1 }, { timeoutMs: 5000 });
  assert.equal(reply._unsafeUnwrapErr().kind, 'unreachable');
  await one.close();
});

test('a node closes the connection of another cluster, whose call fails as lost', async () => {
  const ports = new Map<NodeId, number>();
  const [one, two] = [
    await listeningTransport(a, ports),
    await listeningTransport(b, ports, 'other'),
  ];
  two.serve('transfer', async () => ({ ok: true }));
  const reply = await one.call(b, 'transfer', { term: 1 }, { timeoutMs: 5000 });
  assert.equal(reply._unsafeUnwrapErr().kind, 'lost');
  await Promise.all([one.close(), two.close()]);
});

test('a reply that arrived while the caller was held up is not taken for a timeout', async () => {
  const ports = new Map<NodeId, number>();
  const [one, two] = [await listeningTransport(a, ports), await listeningTransport(b, ports)];
  two.serve('transfer', async () => ({ ok: true }));
  await one.call(b, 'transfer', { term: 1 }, { timeoutMs: 5000 });
  // The reply is written before the event loop stops, and read only after the timeout.
  two.serve('transfer', async () => {
    setImmediate(() => holdUp(300));
    return { ok: true };
  });
  const reply = await one.call(b, 'transfer', { term: 2 }, { timeoutMs: 100 });
  await Promise.all([one.close(), two.close()]);
  assert.ok(reply.isOk(), 'the reply was lost');
});

test('a call that is given up loses no other call on its connection, however long the node is silent', async () => {
  const ports = new Map<NodeId, number>();
  const [one, two] = [await listeningTransport(a, ports), await listeningTransport(b, ports)];
  two.serve('transfer', async () => {
    await SystemClock.create().sleep(400);
    return { ok: true };
  });
  const call = (timeoutMs: number, signal?: AbortSignal) =>
    one.call(b, 'transfer', { term: 1 }, { timeoutMs, ...(signal ? { signal } : {}) });
  const patient = call(5000);
  const stop = new AbortController();
  setTimeout(() => stop.abort(), 20);
  const outcomes = await Promise.all([call(5000, stop.signal), call(100)]);
  assert.deepEqual(
    outcomes.map((o) => o._unsafeUnwrapErr().kind),
    ['timeout', 'timeout'],
  );
  assert.deepEqual((await patient)._unsafeUnwrap(), { ok: true });
  await Promise.all([one.close(), two.close()]);
});

test('a call after one that had no answer goes over another connection, and the silent one ends', async () => {
  const ports = new Map<NodeId, number>();
  const one = await listeningTransport(a, ports);
  const sockets: Socket[] = [];
  const ended: Promise<unknown>[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.resume();
    ended.push(once(socket, 'close'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  ports.set(b, (server.address() as AddressInfo).port);
  const call = () => one.call(b, 'transfer', { term: 1 }, { timeoutMs: 100 });
  await call();
  await ended[0];
  await call();
  assert.equal(sockets.length, 2);
  await one.close();
  server.close();
});
