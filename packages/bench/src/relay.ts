/** Tokens that one node passes on, against a bare pass-through in the same run. */

import { Agent, request } from 'undici';
import { RelayEngine } from './relayengine.js';
import { callerKey, startBare, startNode } from './relaynode.js';
import type { Path } from './relaynode.js';
import type { Figure, Report } from './report.js';

/** Numbers of streams at once, each with the tokens of one stream. */
const loads = [
  { streams: 1, tokens: 8000 },
  { streams: 64, tokens: 150 },
  { streams: 1024, tokens: 30 },
] as const;

/** Measurements of each path for each load; the median counts. */
const rounds = 3;

/** Least share of the tokens of the pass-through. */
const leastRatio = 0.8;

/** Measures both paths in turn. */
export async function run(seed: number): Promise<Report> {
  const engine = await RelayEngine.start();
  const bare = await startBare(engine);
  const node = await startNode(engine);
  const client = new Agent({ connections: 2048, bodyTimeout: 0, headersTimeout: 0 });
  const figures: Figure[] = [];
  for (const load of loads) figures.push(...(await compare(bare, node, client, load)));
  await client.destroy();
  await node.stop();
  await bare.stop();
  engine.stop();
  return { bench: 'relay', seed, figures };
}

interface Load {
  readonly streams: number;
  readonly tokens: number;
}

async function compare(
  bare: Path,
  node: Path,
  client: Agent,
  load: Load,
): Promise<readonly Figure[]> {
  await tokensPerSecond(bare, client, load);
  await tokensPerSecond(node, client, load);
  const ratios: number[] = [];
  const rates: number[] = [];
  for (let i = 0; i < rounds; i += 1) {
    const plain = await tokensPerSecond(bare, client, load);
    const relayed = await tokensPerSecond(node, client, load);
    ratios.push(relayed / plain);
    rates.push(relayed);
  }
  const name = `${load.streams} streams`;
  return [
    { name: `${name}, node`, value: median(rates), unit: 'tokens/s' },
    {
      name: `${name}, node to bare`,
      value: median(ratios),
      unit: 'ratio',
      target: { kind: 'at-least', value: leastRatio },
    },
  ];
}

async function tokensPerSecond(path: Path, client: Agent, load: Load): Promise<number> {
  const start = performance.now();
  await Promise.all(Array.from({ length: load.streams }, () => read(path, client, load.tokens)));
  return (load.streams * load.tokens * 1000) / (performance.now() - start);
}

/** Reads one stream to its end. */
async function read(path: Path, client: Agent, tokens: number): Promise<void> {
  const answer = await ask(path, client, tokens);
  let last = '';
  for await (const chunk of answer.body) last = (chunk as Buffer).subarray(-64).toString();
  if (!/DONE|"end"/.test(last)) throw new Error(`a stream was cut: ${last}`);
}

function ask(path: Path, client: Agent, tokens: number) {
  return request(path.url, {
    method: 'POST',
    dispatcher: client,
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'fig', prompt: 'dry?', stream: true, max_tokens: tokens }),
  });
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}
