/**
 * A simulated network in memory, for tests and benchmarks with many nodes in one process. Delays
 * pass by the clock that the network is given.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell, createStopController } from '@tanagercart/base';
import type { Clock, NodeId, Random } from '@tanagercart/base';
import type { CallOf, ExchangeKind, ReplyOf } from './message.js';
import type { CallError, CallHandler, CallOptions, Transport } from './transport.js';
import { decode, encode } from './frame.js';

/** Delay and loss of messages in each direction between two nodes. */
export interface LinkQuality {
  /** Lowest delay, in milliseconds. */
  readonly delayMs: number;
  /** Highest random delay on top of `delayMs`, in milliseconds. */
  readonly jitterMs: number;
  /** Share of messages that are lost, from 0 to 1. */
  readonly loss: number;
}

const defaultQuality: LinkQuality = { delayMs: 0.5, jitterMs: 0, loss: 0 };

/** Connects the transports of many nodes. Tests can delay, lose and cut messages. */
export class MemoryNetwork {
  private readonly transports = new Map<NodeId, MemoryTransport>();
  private readonly cuts = new Set<string>();
  /** Links that hold their messages back, with a signal for the end of that. */
  private readonly stalls = new Map<string, Bell>();
  private quality: LinkQuality = defaultQuality;
  /** Bytes sent, by node. */
  readonly sentBytes = new Map<NodeId, number>();
  /** Number of messages sent by all nodes. */
  messages = 0;

  private constructor(
    readonly clock: Clock,
    readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): MemoryNetwork {
    return new MemoryNetwork(clock, random);
  }

  /** Attaches a node and returns its transport, which replaces an earlier one of the same node. */
  attach(node: NodeId): MemoryTransport {
    const transport = MemoryTransport.create(this, node);
    this.transports.set(node, transport);
    return transport;
  }

  /** Detaches a node, like a crash of its process. */
  detach(node: NodeId): void {
    this.transports.delete(node);
  }

  /** Sets delay and loss for all pairs of nodes. */
  setQuality(quality: LinkQuality): void {
    this.quality = quality;
  }

  /** Drops all messages from `from` to `to`, until `heal` is called. */
  cut(from: NodeId, to: NodeId): void {
    this.cuts.add(linkOf(from, to));
  }

  /** Undoes all cuts, and delivers what is held back. */
  heal(): void {
    this.cuts.clear();
    const held = [...this.stalls.values()];
    this.stalls.clear();
    for (const bell of held) bell.ring();
  }

  /** Holds all messages from `from` to `to` back until `heal` is called, and loses none of them. */
  stall(from: NodeId, to: NodeId): void {
    const link = linkOf(from, to);
    if (!this.stalls.has(link)) this.stalls.set(link, Bell.create());
  }

  /** Simulates the transfer of a message; resolves with false if it was lost. */
  async send(from: NodeId, to: NodeId, bytes: number): Promise<boolean> {
    this.messages += 1;
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
    const { delayMs, jitterMs, loss } = this.quality;
    const lost = this.random.next() < loss;
    await this.clock.sleep(delayMs + jitterMs * this.random.next());
    const link = linkOf(from, to);
    for (;;) {
      const stalled = this.stalls.get(link);
      if (!stalled) return !lost && !this.cuts.has(link);
      await stalled.wait();
    }
  }

  /** The current transport of a node; undefined if it is detached. */
  transportOf(node: NodeId): MemoryTransport | undefined {
    return this.transports.get(node);
  }
}

function linkOf(from: NodeId, to: NodeId): string {
  return `${from}>${to}`;
}

/** The transport of one node in a `MemoryNetwork`. */
export class MemoryTransport implements Transport {
  private readonly handlers = new Map<ExchangeKind, CallHandler<ExchangeKind>>();

  private constructor(
    private readonly network: MemoryNetwork,
    private readonly self: NodeId,
  ) {}

  static create(network: MemoryNetwork, self: NodeId): MemoryTransport {
    return new MemoryTransport(network, self);
  }

  serve<K extends ExchangeKind>(kind: K, handler: CallHandler<K>): void {
    this.handlers.set(kind, handler as unknown as CallHandler<ExchangeKind>);
  }

  async call<K extends ExchangeKind>(
    to: NodeId,
    kind: K,
    call: CallOf<K>,
    options: CallOptions,
  ): Promise<Result<ReplyOf<K>, CallError>> {
    const stop = createStopController();
    const signals = options.signal ? [stop.signal, options.signal] : [stop.signal];
    const timeout = this.network.clock
      .sleep(options.timeoutMs, AbortSignal.any(signals))
      .then((): Result<ReplyOf<K>, CallError> => err({ kind: 'timeout' }));
    const reply = await Promise.race([this.deliver(to, kind, call), timeout]);
    stop.abort();
    return reply;
  }

  /** Passes an encoded call to its handler and encodes the reply; undefined without a handler. */
  async handleCall(
    from: NodeId,
    kind: ExchangeKind,
    bytes: Uint8Array,
  ): Promise<Uint8Array | undefined> {
    const handler = this.handlers.get(kind);
    if (!handler) return undefined;
    return encode(await handler(from, decode(bytes)));
  }

  private async deliver<K extends ExchangeKind>(
    to: NodeId,
    kind: K,
    call: CallOf<K>,
  ): Promise<Result<ReplyOf<K>, CallError>> {
    const bytes = encode(call);
    if (to !== this.self && !(await this.network.send(this.self, to, bytes.length))) return never();
    const peer = this.network.transportOf(to);
    if (!peer) return err({ kind: 'unreachable', detail: `${to} is down` });
    const reply = await peer.handleCall(this.self, kind, bytes);
    if (!reply) return err({ kind: 'unreachable', detail: `no handler for ${kind}` });
    if (this.network.transportOf(to) !== peer) return never();
    if (to !== this.self && !(await this.network.send(to, this.self, reply.length))) return never();
    return ok(decode<ReplyOf<K>>(reply));
  }
}

/** A promise that never settles, as the caller of a lost message gets no reply. */
function never<T>(): Promise<T> {
  return new Promise(() => undefined);
}
