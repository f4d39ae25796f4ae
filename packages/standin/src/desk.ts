/**
 * A stand-in for an order desk, a service to which callers send orders that must be placed at most
 * once. It counts the placements of each idempotency key, so that a test can find duplicates.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Clock } from '@tanagercart/base';
import { Announcer } from './announcer.js';
import { listenOnLoopback, readJson, urlOf } from './http.js';

/** The identity of an order desk, as it is announced. */
export interface OrderDeskSettings {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
}

/** Number of placements by idempotency key, shared by the replicas of a desk. */
export type PlacementCounts = Map<string, number>;

/** An HTTP server that takes orders with POST and lists the placements on any other method. */
export class FakeOrderDesk {
  private readonly server: Server;
  private announcer: Announcer | undefined;
  /** If set, the next order is placed but the connection closes before the response. */
  dropNextResponse = false;

  private constructor(private readonly placements: PlacementCounts) {
    this.server = createServer((req, res) => {
      void this.handle(req, res);
    });
  }

  /** Starts a desk on a free loopback port and announces it at `entries`. */
  static async start(
    settings: OrderDeskSettings,
    placements: PlacementCounts,
    clock: Clock,
    entries: readonly string[],
    upstreamKey?: string,
  ): Promise<FakeOrderDesk> {
    const desk = new FakeOrderDesk(placements);
    await listenOnLoopback(desk.server);
    const { id, service, dataCentre } = settings;
    const role = { kind: 'service', service };
    const self = () => ({ id, url: desk.url, dataCentre, role });
    desk.announcer = Announcer.start(clock, entries, self, upstreamKey);
    return desk;
  }

  get url(): string {
    return urlOf(this.server);
  }

  /** Announces that the desk is leaving, then stops it. */
  async stop(): Promise<void> {
    await this.announcer?.announceLeaving();
    this.kill();
  }

  /** Stops without an announcement, as a crash does. */
  kill(): void {
    this.announcer?.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method !== 'POST') {
      const list = [...this.placements].map(([key, times]) => ({ key, times }));
      sendJson(res, 200, { placements: list });
      return;
    }
    const body = await readJson(req);
    const key = String(req.headers['idempotency-key'] ?? '');
    const times = (this.placements.get(key) ?? 0) + 1;
    this.placements.set(key, times);
    if (this.dropNextResponse) {
      this.dropNextResponse = false;
      req.socket.destroy();
      return;
    }
    sendJson(res, 201, { placed: key, order: body });
  }
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}
