/**
 * A loopback proxy between programs. Each destination is listened for at its mesh address; who
 * connects is told by the address that the connection comes from.
 */

import { once } from 'node:events';
import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '@tanagercart/base';
import { proxyAddress } from './address.js';

/** How often bytes that are held up look whether they may go on. */
const lookMs: Millis = 10;

interface Connection {
  /** Own addresses of both ends. */
  readonly from: string;
  readonly to: string;
  readonly near: Socket;
  readonly far: Socket;
  /** Passes nothing any more. */
  silenced: boolean;
}

/** What happens to bytes to or from one address. */
interface Rule {
  holdTo: number;
  holdFrom: number;
  delayMs: Millis;
}

/** The proxy of one run. */
export class FaultProxy {
  private readonly servers: Server[] = [];
  private readonly connections = new Set<Connection>();
  private readonly rules = new Map<string, Rule>();
  private ended = false;

  static create(): FaultProxy {
    return new FaultProxy();
  }

  /** Passes connections to the mesh address of `own` on to `own`. */
  async listen(own: string, port: number): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (near) => this.open(near, own, port));
    this.servers.push(server);
    server.listen(port, proxyAddress(own));
    await once(server, 'listening');
  }

  /** Holds bytes up until the returned function is called. */
  hold(address: string, way: 'to' | 'from' | 'both'): () => void {
    const rule = this.ruleOf(address);
    if (way !== 'from') rule.holdTo += 1;
    if (way !== 'to') rule.holdFrom += 1;
    return () => {
      if (way !== 'from') rule.holdTo -= 1;
      if (way !== 'to') rule.holdFrom -= 1;
    };
  }

  /** Delays bytes to and from an address until the returned function is called. */
  delay(address: string, ms: Millis): () => void {
    const rule = this.ruleOf(address);
    rule.delayMs += ms;
    return () => {
      rule.delayMs -= ms;
    };
  }

  /** Open connections pass nothing any more, for good. */
  blackhole(address: string): void {
    for (const connection of this.of(address)) connection.silenced = true;
  }

  /** Resets open connections. */
  reset(address: string): void {
    for (const { near, far } of this.of(address)) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  close(): void {
    this.ended = true;
    for (const server of this.servers) server.close();
    for (const { near, far } of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  private of(address: string): readonly Connection[] {
    return [...this.connections].filter((c) => c.from === address || c.to === address);
  }

  private ruleOf(address: string): Rule {
    const known = this.rules.get(address);
    if (known) return known;
    const fresh: Rule = { holdTo: 0, holdFrom: 0, delayMs: 0 };
    this.rules.set(address, fresh);
    return fresh;
  }

  private open(near: Socket, to: string, port: number): void {
    const from = near.remoteAddress ?? '';
    const far = createConnection({ host: to, port, localAddress: from, allowHalfOpen: true });
    near.setNoDelay(true);
    far.setNoDelay(true);
    const connection: Connection = { from, to, near, far, silenced: false };
    this.connections.add(connection);
    near.on('error', () => undefined);
    far.on('error', () => undefined);
    void this.pass(connection, near, far, from, to);
    void this.pass(connection, far, near, to, from);
  }

  /** Task: passes bytes one way until an end closes. */
  private async pass(
    connection: Connection,
    source: Socket,
    sink: Socket,
    from: string,
    to: string,
  ): Promise<void> {
    let whole = true;
    try {
      for await (const chunk of source) {
        await this.clear(connection, from, to);
        if (!sink.write(chunk as Buffer)) await drained(sink);
      }
    } catch {
      whole = false;
    }
    await this.clear(connection, from, to);
    if (whole) sink.end();
    else sink.resetAndDestroy();
    if (source.destroyed) this.connections.delete(connection);
  }

  /** Resolves once bytes may go from one address to the other. */
  private async clear(connection: Connection, from: string, to: string): Promise<void> {
    const sender = this.ruleOf(from);
    const receiver = this.ruleOf(to);
    const isHeld = () => connection.silenced || sender.holdFrom > 0 || receiver.holdTo > 0;
    const delayMs = sender.delayMs + receiver.delayMs;
    if (delayMs > 0) await sleep(delayMs);
    while (isHeld() && !this.ended) await sleep(lookMs);
  }
}

/** Resolves once a socket takes more bytes, or is closed. */
function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.destroyed) {
      resolve();
      return;
    }
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.once('drain', done);
    socket.once('close', done);
  });
}
