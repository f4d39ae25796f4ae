/**
 * A loopback TCP proxy between the processes of a soak run, which injects network faults. It
 * identifies the client of a connection by the local address from which the client connects.
 */

import { once } from 'node:events';
import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '@tanagercart/base';
import { proxyAddress } from './address.js';

/** Interval at which blocked bytes check whether they may be forwarded. */
const pollMs: Millis = 10;

interface Connection {
  /** Listen addresses of the client and of the server. */
  readonly from: string;
  readonly to: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** Whether the connection forwards nothing any more. */
  blackholed: boolean;
}

/** The faults injected at one address. Blocks are counted, since they may overlap. */
interface Rule {
  blocksTo: number;
  blocksFrom: number;
  delayMs: Millis;
}

/** The proxy of one run. Addresses passed to its methods are listen addresses. */
export class FaultProxy {
  private readonly servers: Server[] = [];
  private readonly connections = new Set<Connection>();
  private readonly rules = new Map<string, Rule>();
  private ended = false;

  static create(): FaultProxy {
    return new FaultProxy();
  }

  /** Forwards connections from the proxy address of `address` to `address`. */
  async listen(address: string, port: number): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (inbound) =>
      this.accept(inbound, address, port),
    );
    this.servers.push(server);
    server.listen(port, proxyAddress(address));
    await once(server, 'listening');
  }

  /** Blocks bytes to or from an address until the returned function is called. */
  block(address: string, way: 'to' | 'from' | 'both'): () => void {
    const rule = this.ruleOf(address);
    if (way !== 'from') rule.blocksTo += 1;
    if (way !== 'to') rule.blocksFrom += 1;
    return () => {
      if (way !== 'from') rule.blocksTo -= 1;
      if (way !== 'to') rule.blocksFrom -= 1;
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

  /** Stops forwarding on the open connections of an address for good, without closing them. */
  blackhole(address: string): void {
    for (const connection of this.connectionsOf(address)) connection.blackholed = true;
  }

  /** Resets the open connections of an address. */
  reset(address: string): void {
    for (const connection of this.connectionsOf(address)) resetConnection(connection);
  }

  /** Stops forwarding on the open connections from an address to others, or resets them. */
  detach(from: string, to: ReadonlySet<string>, how: 'hang' | 'reset'): void {
    for (const connection of this.connections) {
      if (connection.from !== from || !to.has(connection.to)) continue;
      if (how === 'reset') resetConnection(connection);
      else connection.blackholed = true;
    }
  }

  close(): void {
    this.ended = true;
    for (const server of this.servers) server.close();
    for (const { inbound, outbound } of this.connections) {
      inbound.destroy();
      outbound.destroy();
    }
  }

  private connectionsOf(address: string): readonly Connection[] {
    return [...this.connections].filter((c) => c.from === address || c.to === address);
  }

  private ruleOf(address: string): Rule {
    const known = this.rules.get(address);
    if (known) return known;
    const fresh: Rule = { blocksTo: 0, blocksFrom: 0, delayMs: 0 };
    this.rules.set(address, fresh);
    return fresh;
  }

  private accept(inbound: Socket, to: string, port: number): void {
    const from = inbound.remoteAddress ?? '';
    const outbound = createConnection({
      host: to,
      port,
      localAddress: from,
      allowHalfOpen: true,
    });
    inbound.setNoDelay(true);
    outbound.setNoDelay(true);
    const connection: Connection = { from, to, inbound, outbound, blackholed: false };
    this.connections.add(connection);
    inbound.on('error', () => undefined);
    outbound.on('error', () => undefined);
    void this.forward(connection, inbound, outbound, from, to);
    void this.forward(connection, outbound, inbound, to, from);
  }

  /** Task: forwards bytes in one direction until an end closes. */
  private async forward(
    connection: Connection,
    source: Socket,
    sink: Socket,
    from: string,
    to: string,
  ): Promise<void> {
    let endedNormally = true;
    try {
      for await (const chunk of source) {
        await this.waitUntilAllowed(connection, from, to);
        if (!sink.write(chunk as Buffer)) await waitForDrain(sink);
      }
    } catch {
      endedNormally = false;
    }
    await this.waitUntilAllowed(connection, from, to);
    if (endedNormally) sink.end();
    else sink.resetAndDestroy();
    if (source.destroyed) this.connections.delete(connection);
  }

  /** Resolves after the delay between two addresses, once no fault blocks bytes between them. */
  private async waitUntilAllowed(connection: Connection, from: string, to: string): Promise<void> {
    const sender = this.ruleOf(from);
    const receiver = this.ruleOf(to);
    const isBlocked = () => connection.blackholed || sender.blocksFrom > 0 || receiver.blocksTo > 0;
    const delayMs = sender.delayMs + receiver.delayMs;
    if (delayMs > 0) await sleep(delayMs);
    while (isBlocked() && !this.ended) await sleep(pollMs);
  }
}

function resetConnection({ inbound, outbound }: Connection): void {
  inbound.resetAndDestroy();
  outbound.resetAndDestroy();
}

/** Resolves once a socket accepts more bytes, or is closed. */
function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.destroyed) {
      resolve();
      return;
    }
    const finish = () => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.once('drain', finish);
    socket.once('close', finish);
  });
}
