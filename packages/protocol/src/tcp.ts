/** A transport over TCP, with one connection and one reading task per peer and direction. */

import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { startTimer, waitEnded } from '@tanagercart/base';
import type { Clock, Logger, NodeId } from '@tanagercart/base';
import { parseHostPort } from './address.js';
import { CallQueue } from './callqueue.js';
import type { CallOf, ExchangeKind, ReplyOf } from './message.js';
import type { CallError, CallHandler, CallOptions, Transport } from './transport.js';
import { decodeFrames, encodeFrame } from './frame.js';

/** Version of the protocol between nodes; connections of peers with another version are closed. */
export const protocolVersion = 1;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** What one frame carries. A connection starts with a `hello`. */
type Frame =
  | {
      readonly t: 'hello';
      readonly version: number;
      readonly cluster: string;
      readonly from: NodeId;
    }
  | {
      readonly t: 'call';
      readonly seq: number;
      readonly kind: ExchangeKind;
      readonly body: unknown;
    }
  | { readonly t: 'reply'; readonly seq: number; readonly body: unknown }
  | { readonly t: 'fail'; readonly seq: number; readonly detail: string };

/** Returns the `host:port` of a node, or undefined if it is not known. */
export type AddressResolver = (node: NodeId) => string | undefined;

type ReplyCallback = (result: Result<unknown, CallError>) => void;

/** An open connection to a peer, for calls of this node. */
interface Connection {
  readonly to: NodeId;
  readonly socket: Socket;
  /** Time of the last received frame, by the clock in the options. */
  lastFrameAt: number;
  /** Calls without a reply yet, by sequence number. */
  readonly pending: Map<number, ReplyCallback>;
  /** Whether later calls go over another connection; it is closed once no call is pending. */
  isRetired: boolean;
}

/** Dependencies and settings of `TcpTransport`. */
interface TcpOptions {
  readonly self: NodeId;
  /** Connections of nodes in another cluster are closed. */
  readonly cluster: string;
  readonly resolve: AddressResolver;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Receives what a handler throws, which is a broken invariant or a bug. */
  readonly onBroken: (error: unknown) => void;
}

/** A transport over TCP. */
export class TcpTransport implements Transport {
  private readonly handlers = new Map<ExchangeKind, CallHandler<ExchangeKind>>();
  private readonly connections = new Map<NodeId, Promise<Result<Connection, CallError>>>();
  private readonly sockets = new Set<Socket>();
  /** Calls of peers that are not started yet. */
  private readonly calls: CallQueue;
  private server: Server | undefined;
  private seq = 0;
  /** Bytes and frames sent, for measurements. */
  readonly traffic = { sentBytes: 0, sentFrames: 0 };

  private constructor(private readonly options: TcpOptions) {
    this.calls = CallQueue.create(() => options.clock.now());
  }

  static create(options: TcpOptions): TcpTransport {
    return new TcpTransport(options);
  }

  /** Starts to accept connections; resolves with the port, which `port` 0 leaves to the system. */
  listen(host: string, port: number): Promise<Result<number, Error>> {
    return new Promise((resolve) => {
      const server = createServer((socket) => {
        void this.accept(socket);
      });
      this.server = server;
      server.once('error', (e) => resolve(err(e)));
      server.listen(port, host, () => resolve(ok((server.address() as AddressInfo).port)));
    });
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
    if (to === this.options.self) return this.callSelf(kind, call);
    const connection = await this.connectionTo(to);
    if (connection.isErr()) return err(connection.error);
    return this.sendCall(connection.value, kind, call, options);
  }

  /** Closes all connections and stops accepting new ones. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    const { server } = this;
    if (!server) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  private async callSelf<K extends ExchangeKind>(
    kind: K,
    call: CallOf<K>,
  ): Promise<Result<ReplyOf<K>, CallError>> {
    const handler = this.handlers.get(kind);
    if (!handler) return err({ kind: 'unreachable', detail: `no handler for ${kind}` });
    return ok((await handler(this.options.self, call)) as ReplyOf<K>);
  }

  private sendCall<K extends ExchangeKind>(
    connection: Connection,
    kind: K,
    call: CallOf<K>,
    options: CallOptions,
  ): Promise<Result<ReplyOf<K>, CallError>> {
    this.seq += 1;
    const { seq } = this;
    const { clock } = this.options;
    const sentAt = clock.now();
    return new Promise((resolve) => {
      const stop = new AbortController();
      const finish = (result: Result<unknown, CallError>) => {
        if (!connection.pending.delete(seq)) return;
        if (connection.isRetired && connection.pending.size === 0) connection.socket.destroy();
        stop.abort(waitEnded);
        resolve(result as Result<ReplyOf<K>, CallError>);
      };
      connection.pending.set(seq, finish);
      const giveUp = () => finish(err({ kind: 'timeout' }));
      if (options.signal?.aborted) {
        giveUp();
        return;
      }
      options.signal?.addEventListener('abort', giveUp, { once: true, signal: stop.signal });
      void clock.sleep(options.timeoutMs, stop.signal).then(() => {
        if (stop.signal.aborted) return;
        // A connection that received no frame since the call was sent may be dead without a reset,
        // or its node is busy: other calls may still be answered.
        if (connection.lastFrameAt < sentAt) this.retire(connection);
        giveUp();
      });
      this.send(connection.socket, { t: 'call', seq, kind, body: call });
    });
  }

  /** Lets later calls open another connection. */
  private retire(connection: Connection): void {
    if (connection.isRetired) return;
    connection.isRetired = true;
    this.connections.delete(connection.to);
  }

  private connectionTo(to: NodeId): Promise<Result<Connection, CallError>> {
    const existing = this.connections.get(to);
    if (existing) return existing;
    const connecting = this.connect(to);
    this.connections.set(to, connecting);
    void connecting.then((r) => {
      if (r.isErr()) this.connections.delete(to);
    });
    return connecting;
  }

  private connect(to: NodeId): Promise<Result<Connection, CallError>> {
    const address = this.options.resolve(to);
    if (!address) {
      return Promise.resolve(err({ kind: 'unreachable', detail: `no address of ${to}` }));
    }
    const { host, port } = parseHostPort(address);
    return new Promise((resolve) => {
      const socket = createConnection({ host, port, noDelay: true });
      const unreachable = (detail: string) => {
        socket.destroy();
        resolve(err({ kind: 'unreachable', detail }));
      };
      const cancelTimeout = startTimer(connectTimeoutMs, () => unreachable('connect timed out'));
      socket.once('close', cancelTimeout);
      socket.once('error', (e) => unreachable(e.message));
      socket.once('connect', () => {
        cancelTimeout();
        const connection: Connection = {
          to,
          socket,
          isRetired: false,
          pending: new Map(),
          lastFrameAt: this.options.clock.now(),
        };

        this.sendHello(socket);
        void this.readReplies(connection);
        resolve(ok(connection));
      });
    });
  }

  private sendHello(socket: Socket): void {
    const { cluster, self } = this.options;
    this.send(socket, { t: 'hello', version: protocolVersion, cluster, from: self });
  }

  private async readReplies(connection: Connection): Promise<void> {
    this.sockets.add(connection.socket);
    try {
      for await (const frame of decodeFrames<Frame>(connection.socket)) {
        connection.lastFrameAt = this.options.clock.now();
        if (frame.t === 'reply') connection.pending.get(frame.seq)?.(ok(frame.body));
        if (frame.t === 'fail') {
          connection.pending.get(frame.seq)?.(err({ kind: 'unreachable', detail: frame.detail }));
        }
      }
    } catch {
      // The connection broke. The pending calls fail below.
    }
    if (!connection.isRetired) this.connections.delete(connection.to);
    this.sockets.delete(connection.socket);
    connection.socket.destroy();
    for (const callback of [...connection.pending.values()]) {
      callback(err({ kind: 'lost', detail: `connection to ${connection.to} closed` }));
    }
  }

  private async accept(socket: Socket): Promise<void> {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    let from: NodeId | undefined;
    try {
      for await (const frame of decodeFrames<Frame>(socket)) {
        if (frame.t === 'hello') {
          if (frame.version !== protocolVersion || frame.cluster !== this.options.cluster) break;
          from = frame.from;
        }
        if (frame.t === 'call' && from) {
          const { seq, kind, body } = frame;
          const caller = from;
          this.calls.add(() => {
            void this.handleCall(socket, caller, seq, kind, body);
          });
        }
      }
    } catch {
      this.options.logger.debug('Connection from a peer failed.', { peer: from });
    }
    this.sockets.delete(socket);
    socket.destroy();
  }

  private async handleCall(
    socket: Socket,
    from: NodeId,
    seq: number,
    kind: ExchangeKind,
    body: unknown,
  ): Promise<void> {
    const handler = this.handlers.get(kind);
    if (!handler) {
      this.send(socket, { t: 'fail', seq, detail: `no handler for ${kind}` });
      return;
    }
    try {
      const reply = await handler(from, body as CallOf<ExchangeKind>);
      this.send(socket, { t: 'reply', seq, body: reply });
    } catch (error) {
      this.options.onBroken(error);
    }
  }

  private send(socket: Socket, frame: Frame): void {
    if (socket.destroyed) return;
    const bytes = encodeFrame(frame);
    this.traffic.sentBytes += bytes.length;
    this.traffic.sentFrames += 1;
    socket.write(bytes);
  }
}
