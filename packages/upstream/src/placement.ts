/** Orders to upstreams, over HTTP, to load or unload versions and adapters of models. */

import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { Millis, ModelId } from '@tanagercart/base';

/** An order as an upstream receives it. */
export interface PlacementCall {
  /** Fencing token: an upstream that checks it refuses one lower than the highest it has seen. */
  readonly fence: number;
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly part: { readonly kind: 'version' | 'adapter'; readonly name: string };
}

/** The result of sending an order. The upstream carries out an accepted order after its reply. */
export type PlacementReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly detail: string }
  /** The order may or may not have arrived. */
  | { readonly kind: 'lost'; readonly detail: string };

/** The versions and adapters that an upstream holds, as it reports them. */
export interface Holding {
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** Whether it is still carrying out an order. */
  readonly busy: boolean;
}

/** Sends orders to upstreams and reads what they hold. */
export interface PlacementClient {
  /** Sends an order. After `timeoutMs` the request is aborted and cannot arrive any more. */
  sendOrder(url: string, call: PlacementCall, timeoutMs: Millis): Promise<PlacementReply>;
  /** Reads what an upstream holds; undefined if there is no valid reply within `timeoutMs`. */
  fetchHolding(url: string, timeoutMs: Millis): Promise<Holding | undefined>;
}

const holdingSchema = z.object({
  versions: z.array(z.string()),
  adapters: z.array(z.string()),
  busy: z.boolean(),
});

/** Sends orders over HTTP. */
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
