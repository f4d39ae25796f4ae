/** Compares the token throughput of one node with a plain pass-through proxy in the same run. */

import { Agent, request } from 'undici';
import { RelayEngine } from './relayengine.js';
import { callerKey, startPassThrough, startNode } from './relaynode.js';
import type { Endpoint } from './relaynode.js';
import type { Figure, Report } from './report.js';

/** Numbers of concurrent streams, and of tokens per stream. */
const loads = [
  { streams: 1, tokens: 8000 },
  { streams: 64, tokens: 150 },
  { streams: 1024, tokens: 30 },
] as const;

/** Measurements of each endpoint per load; the median counts. */
const rounds = 3;

/** Minimum throughput of the node, as a ratio to that of the pass-through. */
const minRatio = 0.8;

/** Measures both endpoints in turn. */
export async function run(seed: number): Promise<Report> {
  const engine = await RelayEngine.start();
  const passThrough = await startPassThrough(engine);
  const node = await startNode(engine);
  const client = new Agent({ connections: 2048, bodyTimeout: 0, headersTimeout: 0 });
  const figures: Figure[] = [];
  for (const load of loads) figures.push(...(await compare(passThrough, node, client, load)));
  await client.destroy();
  await node.stop();
  await passThrough.stop();
  engine.stop();
  return { bench: 'relay', seed, figures };
}

interface Load {
  readonly streams: number;
  readonly tokens: number;
}

async function compare(
  passThrough: Endpoint,
  node: Endpoint,
  client: Agent,
  load: Load,
): Promise<readonly Figure[]> {
  await tokensPerSecond(passThrough, client, load);
  await tokensPerSecond(node, client, load);
  const ratios: number[] = [];
  const rates: number[] = [];
  for (let i = 0; i < rounds; i += 1) {
    const direct = await tokensPerSecond(passThrough, client, load);
    const relayed = await tokensPerSecond(node, client, load);
    ratios.push(relayed / direct);
    rates.push(relayed);
  }
  const name = `${load.streams} streams`;
  return [
    { name: `${name}, node`, value: median(rates), unit: 'tokens/s' },
    {
      name: `${name}, node to bare`,
      value: median(ratios),
      unit: 'ratio',
      target: { kind: 'at-least', value: minRatio },
    },
  ];
}

async function tokensPerSecond(endpoint: Endpoint, client: Agent, load: Load): Promise<number> {
  const start = performance.now();
  await Promise.all(
    Array.from({ length: load.streams }, () => readStream(endpoint, client, load.tokens)),
  );
  return (load.streams * load.tokens * 1000) / (performance.now() - start);
}

/** Reads one stream to its end; throws if it was cut. */
async function readStream(endpoint: Endpoint, client: Agent, tokens: number): Promise<void> {
  const answer = await sendRequest(endpoint, client, tokens);
  let last = '';
  for await (const chunk of answer.body) last = (chunk as Buffer).subarray(-64).toString();
  if (!/DONE|"end"/.test(last)) throw new Error(`a stream was cut: ${last}`);
}

function sendRequest(endpoint: Endpoint, client: Agent, tokens: number) {
  return request(endpoint.url, {
    method: 'POST',
    dispatcher: client,
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'fig', prompt: 'dry?', stream: true, max_tokens: tokens }),
  });
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}
