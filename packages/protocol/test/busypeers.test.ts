import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { NodeId, SystemClock, silentLogger } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { TcpTransport } from '../src/index.js';

const clock = SystemClock.create();
const busy = NodeId('busy');

/** Callers that keep the node busy, callers that connect meanwhile, and the work of one call. */
const steadyCallers = 40;
const newCallers = 60;
const workMs: Millis = 4;

function transportOf(name: string, port: number): TcpTransport {
  return TcpTransport.create({
    self: NodeId(name),
    cluster: 'c',
    resolve: () => `127.0.0.1:${port}`,
    clock,
    logger: silentLogger,
    onBroken: (e) => {
      throw e as Error;
    },
  });
}

const callOf = (name: string, port: number) => {
  const transport = transportOf(name, port);
  return () => transport.call(busy, 'read', {} as never, { timeoutMs: 30_000 });
};

/** The callers, in a process of their own: sends the time until the last new one is answered. */
async function runCallers(port: number): Promise<void> {
  for (let i = 0; i < steadyCallers; i += 1) {
    const call = callOf(`steady-${i}`, port);
    const repeat = (): void => {
      void call().then(repeat);
    };
    repeat();
  }
  await clock.sleep(1000);
  const from = clock.now();
  await Promise.all(Array.from({ length: newCallers }, (_, i) => callOf(`new-${i}`, port)()));
  process.send!(clock.now() - from, () => process.exit());
}

if (process.argv[2] === 'callers') void runCallers(Number(process.argv[3]));
else {
  test('peers that connect to a busy node are answered soon, though each turn accepts one', async () => {
    const server = transportOf('busy', 0);
    server.serve('read', async () => {
      const until = clock.now() + workMs;
      while (clock.now() < until);
      return { kind: 'not-leader', leader: undefined };
    });
    const port = (await server.listen('127.0.0.1', 0))._unsafeUnwrap();
    const callers = fork(process.argv[1]!, ['callers', String(port)]);
    const [tookMs] = (await once(callers, 'message')) as [Millis];
    await once(callers, 'exit');
    await server.close();
    assert.ok(tookMs < 4000, `${Math.round(tookMs)} ms`);
  });
}
