/** A node that serves one fake engine, and a plain pass-through proxy to the same engine. */

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pipeline } from 'node:stream/promises';
import { Agent, request } from 'undici';
import { SystemClock, digestOf, silentLogger } from '@tanagercart/base';
import { MemoryDisk } from '@tanagercart/log';
import { Node } from '@tanagercart/node';
import { settingsSchema } from '@tanagercart/settings';
import { layers } from './relayengine.js';
import type { RelayEngine } from './relayengine.js';

/** API key of the bench's account. */
export const callerKey = 'relay-caller-key';

const operatorKey = 'relay-operator-key';

/** Interval between announcements of the engine, in milliseconds. */
const announceMs = 500;

/** Interval at which the state of the node is polled, in milliseconds. */
const pollMs = 20;

/** A server under measurement: the URL for requests, and how to stop it. */
export interface Endpoint {
  readonly url: string;
  stop(): Promise<void>;
}

const note = `number = 1
author = "bench"
[[added.priceLists]]
id = "list"
[[added.priceLists.tiers]]
id = "urgent"
urgency = 0
price = 1.0
firstTokenMs = 60000
tokenGapMs = 60000
concurrency = 4096
requestsPerSecond = 1000000
tokensPerSecond = 1000000000
[[added.clientAccounts]]
id = "caller"
priceList = "list"
defaultTier = "urgent"
keyDigest = "${digestOf(callerKey)}"
[[added.models]]
id = "fig"
layers = ${layers}
versions = ["1"]
`;

/** Starts a node that forms a cluster of its own and owns `engine`; resolves once it serves. */
export async function startNode(engine: RelayEngine): Promise<Endpoint> {
  const clock = SystemClock.create();
  const address = { dataCentre: 'north-1', peer: '127.0.0.1:0', entry: '127.0.0.1:0' };
  const self = { id: 'n1', ...address, operator: '127.0.0.1:0' };
  const started = await Node.start({
    settings: settingsSchema.parse({ cluster: 'relay', voters: ['n1'], node: self }),
    operatorKey,
    clock,
    disk: MemoryDisk.create(),
    logger: silentLogger,
    onBroken: (error) => {
      throw error;
    },
  });
  const node = started._unsafeUnwrap();
  while (!node.ready) await clock.sleep(pollMs);
  await post(`${node.operatorUrl}/operators/v1/releases`, note, operatorKey);
  const announce = () => post(`${node.entryUrl}/upstreams/v1/announce`, announcement(engine), '');
  const timer = setInterval(() => {
    announce().catch(() => clearInterval(timer));
  }, announceMs);
  await announce();
  while (node.history.state.replicas.size === 0) await clock.sleep(pollMs);
  const stop = async () => {
    clearInterval(timer);
    await node.stop();
  };
  return { url: `${node.entryUrl}/v1/completions`, stop };
}

/** Starts a proxy that sends each request to `engine` and pipes the answer back. */
export async function startPassThrough(engine: RelayEngine): Promise<Endpoint> {
  const dispatcher = new Agent({ connections: 2048, bodyTimeout: 0, headersTimeout: 0 });
  const server = createServer((req, res) => {
    const forward = async () => {
      let body = '';
      for await (const chunk of req) body += String(chunk);
      const completion = JSON.parse(body) as { max_tokens: number };
      const runBody = JSON.stringify({
        request: 'r',
        attempt: 1,
        maxTokens: completion.max_tokens,
      });
      const answer = await request(`${engine.url}/v1/run`, {
        method: 'POST',
        body: runBody,
        dispatcher,
      });
      res.writeHead(200);
      await pipeline(answer.body, res);
    };
    forward().catch(() => res.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const stop = async () => {
    server.closeAllConnections();
    server.close();
    await dispatcher.destroy();
  };
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, stop };
}

function announcement(engine: RelayEngine): string {
  const role = { kind: 'stage', model: 'fig', versions: ['1'], from: 0, to: layers };
  const speed = { accelerator: 'fake', tokensPerSecond: 1_000_000, slots: 4096 };
  const self = { id: 'fake', incarnation: '1', url: engine.url, dataCentre: 'north-1' };
  return JSON.stringify({ ...self, role: { ...role, ...speed } });
}

async function post(url: string, body: string, key: string): Promise<void> {
  const headers = { authorization: `Bearer ${key}` };
  const answer = await request(url, { method: 'POST', body, headers });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`${url}: ${answer.statusCode} ${text}`);
}
