/**
 * Simulated engines and order desks on a clock that the bench advances. They can crash, slow
 * down and restart.
 */

import { err, ok } from 'neverthrow';
import { ModelId, UpstreamId, invariant } from '@tanagercart/base';
import type { HeldClock, Millis } from '@tanagercart/base';
import type {
  Announcement,
  EngineClient,
  RunEvent,
  RunFailure,
  RunOrder,
  ServiceClient,
} from '@tanagercart/upstream';

/** Time for one token, in milliseconds. */
export const tokenMs: Millis = 40;

/** Number of sequences that one stage is announced to run at once. */
export const slots = 8;

/** Number of layers of the model; each stage holds half of them. */
export const layers = 4;

/** Time that a desk takes for an order, in milliseconds. */
const deskDelayMs: Millis = 20;

/** One upstream and its current condition. */
export interface SimulatedUpstream {
  readonly announcement: Announcement;
  alive: boolean;
  /** Factor by which its steps take longer; 1 is full speed. */
  slowdown: number;
  running: number;
}

/** The token at `index` of the answer to a prompt; it differs for every prompt and index. */
export function tokenAt(prompt: string, index: number): string {
  return `${prompt}.${index}`;
}

/** All upstreams of a deployment, with the clients that nodes use to call them. */
export class SimulatedUpstreams {
  readonly upstreams = new Map<string, SimulatedUpstream>();
  /** Number of placements of each order, by key. */
  readonly placementCounts = new Map<string, number>();
  /** Ids of the stages that ran each prompt last. */
  readonly chainOf = new Map<string, readonly string[]>();
  /** Largest number of sequences that ran on one stage at once. */
  peakRunning = 0;
  readonly engines: EngineClient = {
    run: (order, signal) => this.run(order, signal),
    cancel: async () => undefined,
  };
  readonly services: ServiceClient = {
    send: async (call) => {
      const desk = this.findByUrl(call.url);
      if (!desk?.alive) return err({ kind: 'unreachable', detail: 'down' });
      const key = call.body.toString();
      this.placementCounts.set(key, (this.placementCounts.get(key) ?? 0) + 1);
      await this.clock.sleep(deskDelayMs);
      if (!desk.alive) return err({ kind: 'lost', detail: 'died' });
      return ok({ status: 201, contentType: 'text/plain', body: key });
    },
  };

  private constructor(private readonly clock: HeldClock) {}

  static create(clock: HeldClock): SimulatedUpstreams {
    return new SimulatedUpstreams(clock);
  }

  /** Adds a stage that holds one half of the layers. A restart needs a new incarnation. */
  addStage(id: string, half: 0 | 1, dataCentre: string, incarnation = '1'): SimulatedUpstream {
    const from = half * (layers / 2);
    return this.add(id, dataCentre, incarnation, {
      kind: 'stage',
      model: ModelId('fig'),
      versions: ['1'],
      adapters: [],
      from,
      to: from + layers / 2,
      accelerator: 'a',
      tokensPerSecond: (slots * 1000) / tokenMs,
      slots,
    });
  }

  addDesk(id: string, dataCentre: string): SimulatedUpstream {
    return this.add(id, dataCentre, '1', { kind: 'service', service: 'desk' });
  }

  private add(
    id: string,
    dataCentre: string,
    incarnation: string,
    role: Announcement['role'],
  ): SimulatedUpstream {
    const url = `http://${id}`;
    const name = UpstreamId(id);
    const announcement = { id: name, incarnation, url, dataCentre, role, leaving: false };
    const upstream = { announcement, alive: true, slowdown: 1, running: 0 };
    this.upstreams.set(id, upstream);
    return upstream;
  }

  private findByUrl(url: string): SimulatedUpstream | undefined {
    return [...this.upstreams.values()].find((u) => url.startsWith(u.announcement.url));
  }

  private async *run(order: RunOrder, signal: AbortSignal): AsyncGenerator<RunEvent> {
    const chain = order.chain.map((l) => this.upstreams.get(l.upstream)!);
    const findDead = () => chain.find((u) => !u.alive);
    if (findDead()) {
      yield failedEvent({ kind: 'unreachable', detail: 'down' });
      return;
    }
    this.chainOf.set(
      order.prompt,
      order.chain.map((l) => l.upstream),
    );
    for (const u of chain) {
      u.running += 1;
      this.peakRunning = Math.max(this.peakRunning, u.running);
    }
    let slotsReleased = false;
    // The consumer of a cancelled run may stop reading, so `finally` below may never run.
    const releaseSlots = () => {
      if (!slotsReleased) for (const u of chain) u.running -= 1;
      slotsReleased = true;
    };
    signal.addEventListener('abort', releaseSlots, { once: true });
    try {
      yield* this.generate(order, chain, signal);
    } finally {
      signal.removeEventListener('abort', releaseSlots);
      releaseSlots();
    }
  }

  private async *generate(
    order: RunOrder,
    chain: readonly SimulatedUpstream[],
    signal: AbortSignal,
  ): AsyncGenerator<RunEvent> {
    const { request, attempt, prompt } = order;
    const receipts = order.chain.map(({ upstream, from, to }) => ({ upstream, from, to }));
    for (let index = order.passed.length; index < order.maxTokens; index += 1) {
      const before = order.passed.at(-1);
      invariant(
        before === undefined || before === tokenAt(prompt, order.passed.length - 1),
        'an attempt goes on after the tokens of its own request',
      );
      await this.clock.sleep(tokenMs * Math.max(...chain.map((u) => u.slowdown)), signal);
      if (signal.aborted) {
        yield failedEvent({ kind: 'cancelled', detail: 'cancelled' });
        return;
      }
      const dead = chain.find((u) => !u.alive);
      if (dead) {
        const suspect = dead.announcement.id;
        yield failedEvent({ kind: 'broken', detail: 'died', suspect });
        return;
      }
      const token = tokenAt(prompt, index);
      yield { kind: 'tokens', frames: [{ request, attempt, index, token, receipts }] };
    }
    yield { kind: 'end', reason: 'length' };
  }
}

function failedEvent(failure: RunFailure): RunEvent {
  return { kind: 'failed', failure };
}
