/** A stand-in for one stage of an engine: holds a range of layers and passes tokens along its chain. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';
import type { Clock } from '@tanagercart/base';
import { Announcer } from './announcer.js';
import { embed, naturalLength, runLayers, tokenOf } from './text.js';
import type { Prompt } from './text.js';

/** What a stand-in stage holds and how fast it is. */
export interface StageSettings {
  readonly id: string;
  readonly dataCentre: string;
  readonly model: string;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  readonly from: number;
  readonly to: number;
  readonly accelerator: string;
  readonly tokensPerSecond: number;
  readonly slots: number;
  /** Time for one token in this stage, in milliseconds. */
  readonly tokenMs: number;
}

interface Link {
  readonly upstream: string;
  readonly url: string;
  readonly from: number;
  readonly to: number;
}

interface Receipt {
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
}

interface RunBody extends Prompt {
  readonly request: string;
  readonly attempt: number;
  readonly passed: readonly string[];
  readonly maxTokens: number;
  readonly chain: readonly Link[];
}

interface LayersBody {
  readonly request: string;
  readonly attempt: number;
  readonly index: number;
  readonly hidden: number;
  readonly chain: readonly Link[];
}

interface LayersReply {
  readonly hidden: number;
  readonly receipts: readonly Receipt[];
}

/** Largest body that is read, in bytes. */
const bodyLimit = 8 * 1024 * 1024;

/** A stage further along the chain could not be reached. */
class LostStage extends Error {
  constructor(
    readonly stage: string,
    detail: string,
  ) {
    super(detail);
  }
}

/** A running stand-in stage. */
export class EngineStandIn {
  private readonly server: Server;
  private readonly pool = new Agent({ connections: 64 });
  private readonly runs = new Map<string, AbortController>();
  private announcer: Announcer | undefined;
  /** Tokens that this stage worked on. */
  tokens = 0;

  private constructor(
    readonly settings: StageSettings,
    private readonly clock: Clock,
  ) {
    this.server = createServer((req, res) => {
      void this.handle(req, res);
    });
  }

  /** Starts a stage on a free loopback port and announces it at `entries`. */
  static async start(
    settings: StageSettings,
    clock: Clock,
    entries: readonly string[],
  ): Promise<EngineStandIn> {
    const engine = new EngineStandIn(settings, clock);
    await new Promise<void>((resolve) => {
      engine.server.listen(0, '127.0.0.1', resolve);
    });
    engine.announcer = Announcer.start(clock, entries, {
      id: settings.id,
      url: engine.url,
      dataCentre: settings.dataCentre,
      role: { kind: 'stage', ...settings },
    });
    return engine;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Streams that run here as the head of their chain. */
  get running(): number {
    return this.runs.size;
  }

  /** Says that it leaves, then stops. */
  async stop(): Promise<void> {
    await this.announcer?.leave();
    this.kill();
  }

  /** Dies without a word. */
  kill(): void {
    this.announcer?.stop();
    for (const run of this.runs.values()) run.abort();
    this.server.closeAllConnections();
    this.server.close();
    void this.pool.destroy();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readJson(req);
      if (req.url === '/v1/run') await this.run(body as RunBody, res);
      else if (req.url === '/v1/layers') answer(res, await this.layers(body as LayersBody));
      else if (req.url === '/v1/cancel') this.cancel(body as RunBody, res);
      else res.writeHead(404).end();
    } catch (error) {
      if (!res.headersSent) res.writeHead(500, { 'content-type': 'application/json' });
      const lost = error instanceof LostStage ? error.stage : undefined;
      res.end(JSON.stringify({ error: String(error), lost }));
    }
  }

  private async run(body: RunBody, res: ServerResponse): Promise<void> {
    if (this.runs.size >= this.settings.slots * 4) {
      res.writeHead(503).end('queue full');
      return;
    }
    const key = `${body.request}/${body.attempt}`;
    const abort = new AbortController();
    this.runs.set(key, abort);
    res.on('close', () => abort.abort());
    res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    try {
      await this.generate(body, res, abort.signal);
    } catch (error) {
      const suspect = error instanceof LostStage ? error.stage : undefined;
      res.write(line({ t: 'failed', detail: String(error), suspect }));
    }
    this.runs.delete(key);
    res.end();
  }

  private async generate(body: RunBody, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const natural = naturalLength(body);
    const length = Math.min(natural, body.maxTokens);
    let before = body.passed.at(-1) ?? '';
    for (let index = body.passed.length; index < length; index += 1) {
      const hidden = embed(body, index, before);
      const { request: id, attempt, chain } = body;
      const reply = await this.layers({ request: id, attempt, index, hidden, chain });
      if (signal.aborted) {
        res.write(line({ t: 'cancelled' }));
        return;
      }
      before = tokenOf(reply.hidden);
      const { receipts } = reply;
      res.write(line({ t: 'token', request: id, attempt, index, token: before, receipts }));
    }
    res.write(line({ t: 'end', reason: natural <= body.maxTokens ? 'stop' : 'length' }));
  }

  /** Runs the own layers, then those of the rest of the chain. */
  private async layers(body: LayersBody): Promise<LayersReply> {
    const { id, from, to, tokenMs } = this.settings;
    await this.clock.sleep(tokenMs);
    this.tokens += 1;
    const hidden = runLayers(body.hidden, from, to);
    const own: Receipt = { upstream: id, from, to };
    const [, ...rest] = body.chain;
    const [next] = rest;
    if (!next) return { hidden, receipts: [own] };
    const reply = await this.pass(next, { ...body, hidden, chain: rest });
    return { hidden: reply.hidden, receipts: [own, ...reply.receipts] };
  }

  private async pass(next: Link, body: LayersBody): Promise<LayersReply> {
    let response;
    try {
      response = await request(`${next.url}/v1/layers`, {
        method: 'POST',
        dispatcher: this.pool,
        body: JSON.stringify(body),
      });
    } catch (error) {
      throw new LostStage(next.upstream, String(error));
    }
    const reply = (await response.body.json()) as LayersReply & { readonly lost?: string };
    if (reply.lost) throw new LostStage(reply.lost, 'lost further along the chain');
    if (response.statusCode !== 200) throw new Error(`stage ${next.upstream} refused`);
    return reply;
  }

  private cancel(body: RunBody, res: ServerResponse): void {
    this.runs.get(`${body.request}/${body.attempt}`)?.abort();
    answer(res, { ok: true });
  }
}

/** Reads a request's body as JSON. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > bodyLimit) throw new RangeError('body too large');
    chunks.push(chunk);
  }
  return size === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
}

function answer(res: ServerResponse, body: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

function line(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}
