/** Orders to upstreams to load and unload parts of models, over HTTP. */

import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { Millis, ModelId } from '@tanagercart/base';

/** An order as an upstream receives it. */
export interface PlacementCall {
  /** Fencing number: an upstream that checks it refuses a lower one than it has seen. */
  readonly fence: number;
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly part: { readonly kind: 'version' | 'adapter'; readonly name: string };
}

/** What became of sending an order; an accepted load goes on after the answer. */
export type PlacementReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly detail: string }
  /** The order may or may not have arrived. */
  | { readonly kind: 'lost'; readonly detail: string };

/** What an upstream holds, as it tells itself. */
export interface Holding {
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** Whether it still carries out orders. */
  readonly busy: boolean;
}

/** Sends orders to upstreams and reads back what they hold. */
export interface PlacementClient {
  /** Sends an order; after `timeoutMs` nothing of it is on its way any more. */
  sendOrder(url: string, call: PlacementCall, timeoutMs: Millis): Promise<PlacementReply>;
  /** What an upstream holds; undefined where it does not answer in time. */
  fetchHolding(url: string, timeoutMs: Millis): Promise<Holding | undefined>;
}

const holdingSchema = z.object({
  versions: z.array(z.string()),
  adapters: z.array(z.string()),
  busy: z.boolean(),
});

/** Orders over HTTP. */
export class HttpPlacementClient implements PlacementClient {
  private constructor(private readonly pool: Dispatcher) {}

  static create(pool: Dispatcher): HttpPlacementClient {
    return new HttpPlacementClient(pool);
  }

  async sendOrder(url: string, call: PlacementCall, timeoutMs: Millis): Promise<PlacementReply> {
    try {
      const response = await request(`${url}/v1/placement`, {
        method: 'POST',
        dispatcher: this.pool,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(call),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const detail = await response.body.text();
      return response.statusCode === 202 ? { kind: 'accepted' } : { kind: 'refused', detail };
    } catch (error) {
      return { kind: 'lost', detail: String(error) };
    }
  }

  async fetchHolding(url: string, timeoutMs: Millis): Promise<Holding | undefined> {
    try {
      const response = await request(`${url}/v1/holding`, {
        dispatcher: this.pool,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const parsed = holdingSchema.safeParse(await response.body.json());
      return response.statusCode === 200 && parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  }
}
