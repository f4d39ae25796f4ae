import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type {
  CallHandler,
  CallOptions,
  ExchangeKind,
  ReplyOf,
  Transport,
} from '@tanagercart/protocol';

/** Processor time for one call and for its reply, by kind; other kinds take `otherCostMs`. */
export interface CallCosts extends Partial<Record<ExchangeKind, Millis>> {
  /** Processor time, beside that of each call, to encode one record of an upstream in a reply. */
  readonly record?: Millis;
  /** The same for a reply with the whole state, in whatever form. */
  readonly whole?: Millis;
}

const otherCostMs: Millis = 0.5;

/** A processor that carries out the work of one node, one piece after another. */
export class SimulatedProcessor {
  private freeAt: Millis = 0;
  private workedMs: Millis = 0;
  private measured = { at: 0, workedMs: 0 };

  private constructor(
    private readonly clock: Clock,
    private readonly costs: CallCosts,
  ) {}

  static create(clock: Clock, costs: CallCosts): SimulatedProcessor {
    return new SimulatedProcessor(clock, costs);
  }

  /** Resolves once all earlier work and `ms` of new work is done. */
  async work(ms: Millis): Promise<void> {
    const now = this.clock.now();
    this.freeAt = Math.max(now, this.freeAt) + ms;
    this.workedMs += ms;
    await this.clock.sleep(this.freeAt - now);
  }

  /** Share of the time since the last call in which the processor worked. */
  utilization(): number {
    const now = this.clock.now();
    const doneMs = this.workedMs - Math.max(0, this.freeAt - now);
    const share = (doneMs - this.measured.workedMs) / Math.max(1, now - this.measured.at);
    this.measured = { at: now, workedMs: doneMs };
    return Math.min(1, Math.max(0, share));
  }

  /** A clock whose sleeps end once the processor has done its earlier work. */
  clockOf(inner: Clock): Clock {
    return {
      now: () => inner.now(),
      latest: () => inner.latest(),
      wall: () => inner.wall(),
      sleep: async (ms, signal) => {
        await inner.sleep(ms, signal);
        if (!signal?.aborted) await this.work(0);
      },
    };
  }

  private stateCostMs(reply: ReplyOf<ExchangeKind>): Millis {
    if (!('upstreams' in reply)) return 0;
    const { record = 0, whole = 0 } = this.costs;
    return reply.upstreams.length * record + (reply.whole ? whole : 0);
  }

  /** A transport whose calls and replies take processor time. */
  transportOf(inner: Transport): Transport {
    const costOf = (kind: ExchangeKind) => this.costs[kind] ?? otherCostMs;
    return {
      call: async (to: NodeId, kind, call, options: CallOptions) => {
        const reply = await inner.call(to, kind, call, options);
        await this.work(otherCostMs);
        return reply;
      },
      serve: <K extends ExchangeKind>(kind: K, handler: CallHandler<K>) => {
        inner.serve(kind, async (from, call) => {
          await this.work(costOf(kind) / 2);
          const reply = await handler(from, call);
          await this.work(costOf(kind) / 2 + this.stateCostMs(reply));
          return reply;
        });
      },
    };
  }
}
