/** A fake single-stage engine that writes token frames as fast as its client reads them. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Number of layers of the model; the engine holds all of them. */
export const layers = 8;

interface RunBody {
  readonly request: string;
  readonly attempt: number;
  readonly maxTokens: number;
}

/** An engine on a free loopback port. */
export class RelayEngine {
  private readonly server: Server;

  private constructor() {
    this.server = createServer((req, res) => {
      void handle(req, res);
    });
  }

  static async start(): Promise<RelayEngine> {
    const engine = new RelayEngine();
    await new Promise<void>((resolve) => {
      engine.server.listen(0, '127.0.0.1', resolve);
    });
    return engine;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  if (req.url !== '/v1/run') {
    res.end('{}');
    return;
  }
  await run(JSON.parse(text) as RunBody, res);
}

async function run(body: RunBody, res: ServerResponse): Promise<void> {
  const { request, attempt, maxTokens } = body;
  const receipts = [{ upstream: 'fake', from: 0, to: layers }];
  res.writeHead(200, { 'content-type': 'application/x-ndjson' });
  for (let index = 0; index < maxTokens && !res.destroyed; index += 1) {
    const token = index % 2 === 0 ? 'trays ' : 'figs ';
    const frame = { t: 'token', request, attempt, index, token, receipts };
    const hasRoom = res.write(`${JSON.stringify(frame)}\n`);
    if (!hasRoom) await waitForDrain(res);
  }
  res.end(`${JSON.stringify({ t: 'end', reason: 'length' })}\n`);
}

function waitForDrain(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      res.off('drain', finish);
      res.off('close', finish);
      resolve();
    };
    res.on('drain', finish);
    res.on('close', finish);
  });
}
