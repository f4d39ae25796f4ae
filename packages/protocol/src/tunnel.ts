/**
 * Tunnels between nodes: a node connects to an address on behalf of a peer that cannot reach it
 * itself (HTTP CONNECT, RFC 9110), and passes the bytes on both ways.
 */

import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { createConnection } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { startTimer } from '@tanagercart/base';
import { isPort, parseHostPort } from './address.js';
import type { HostPort } from './address.js';
import { connectionEnd, watchConnectionEnd } from './connectionend.js';
import { ResponseSocket } from './responsesocket.js';
import { FrameEncoder } from './tunnelframes.js';

/**
 * Time for the server of a tunnel to connect to the target, in milliseconds. Peers wait for longer, so
 * that they can tell a silent target from a silent server.
 */
export const tunnelTargetTimeoutMs = 150;

/** Silence after which the operating system probes both connections of a tunnel. */
const keepAliveMs = 2000;

/** Header by which both sides agree on frames; peers of earlier versions leave it out. */
const framesHeader = 'Tunnel-Frames';

/** Why a tunnel was not opened. */
export type TunnelError =
  /** The peer was not reached, or has no tunnels. */
  | { readonly kind: 'no-peer'; readonly detail: string }
  /** The peer did not reach the target, or does not connect to it. */
  | { readonly kind: 'no-target'; readonly detail: string };

/** Accepts the tunnels of peers. */
export class TunnelServer {
  private readonly server: Server;
  private readonly tunnels = new Set<Socket>();

  /** `isAllowed` tells whether peers may connect to an address, given as `host:port`. */
  private constructor(isAllowed: (target: string) => boolean) {
    this.server = createServer((_, response) => {
      response.writeHead(405, { Connection: 'close' });
      response.end();
    });
    this.server.on('connect', (request, stream, head: Buffer) => {
      const target = request.url ?? '';
      if (isAllowed(target)) this.connect(target, stream as Socket, head, hasFrames(request));
      else refuse(stream as Socket, '403 Forbidden');
    });
    this.server.on('clientError', (_, socket) => socket.destroy());
  }

  static create(isAllowed: (target: string) => boolean): TunnelServer {
    return new TunnelServer(isAllowed);
  }

  /** Number of open tunnels. */
  get active(): number {
    return this.tunnels.size;
  }

  /** Starts to accept tunnels; resolves with the port, which `port` 0 leaves to the system. */
  listen(host: string, port: number): Promise<Result<number, Error>> {
    return new Promise((resolve) => {
      this.server.once('error', (e) => resolve(err(e)));
      this.server.listen(port, host, () =>
        resolve(ok((this.server.address() as AddressInfo).port)),
      );
    });
  }

  /** Accepts no more tunnels; open ones stay until one of their ends closes. */
  close(): void {
    this.server.close();
  }

  private connect(target: string, client: Socket, head: Buffer, isFramed: boolean): void {
    const { host, port } = parseHostPort(target);
    if (!isPort(port)) {
      refuse(client, '502 Bad Gateway');
      return;
    }
    const upstream = createConnection({ host, port, noDelay: true, allowHalfOpen: true });
    watchConnectionEnd(upstream);
    watchConnectionEnd(client);
    const cancelTimeout = startTimer(tunnelTargetTimeoutMs, () =>
      upstream.destroy(new Error('timeout')),
    );
    const fail = () => refuse(client, '502 Bad Gateway');
    upstream.once('error', fail);
    upstream.once('close', cancelTimeout);
    client.once('error', () => upstream.destroy());
    upstream.once('connect', () => {
      cancelTimeout();
      upstream.off('error', fail);
      this.tunnels.add(client);
      client.once('close', () => this.tunnels.delete(client));
      client.write(`HTTP/1.1 200 Connected\r\n${isFramed ? `${framesHeader}: 1\r\n` : ''}\r\n`);
      if (head.length > 0) upstream.write(head);
      join(client, upstream);
      join(upstream, client, isFramed ? FrameEncoder.create() : undefined);
    });
  }
}

/** Opens a tunnel over a peer to `target`, an address as `host:port`. */
export function openTunnel(
  peer: HostPort,
  target: string,
  timeoutMs: number,
): Promise<Result<Socket, TunnelError>> {
  return new Promise((resolve) => {
    const request = httpRequest({
      ...peer,
      method: 'CONNECT',
      path: target,
      headers: { [framesHeader]: '1' },
      createConnection: () => ResponseSocket.open(peer),
    });
    ResponseSocket.bound(request);
    const cancelTimeout = startTimer(timeoutMs, () => request.destroy(new Error('timeout')));
    const fail = (error: TunnelError) => {
      cancelTimeout();
      resolve(err(error));
    };
    request.once('error', (e) => fail({ kind: 'no-peer', detail: e.message }));
    request.once('response', (response) => {
      fail({ kind: 'no-peer', detail: `status ${response.statusCode}` });
      request.destroy();
    });
    request.once('connect', (response, stream, head: Buffer) => {
      const socket = stream as ResponseSocket;
      if (response.statusCode !== 200) {
        socket.destroy();
        fail({ kind: 'no-target', detail: `status ${response.statusCode}` });
        return;
      }
      cancelTimeout();
      socket.enterTunnel(hasFrames(response) ? 'framed' : 'raw', head);
      resolve(ok(socket));
    });
    request.end();
  });
}

function hasFrames({ headers }: IncomingMessage): boolean {
  return headers[framesHeader.toLowerCase()] !== undefined;
}

/** Passes bytes on, over `coding` if given. A reset of one connection resets the other. */
function join(from: Socket, to: Socket, coding?: FrameEncoder): void {
  from.setNoDelay(true);
  from.setKeepAlive(true, keepAliveMs);
  const last = coding ?? to;
  if (coding) coding.pipe(to);
  from.pipe(last, { end: false });
  from.once('end', () => {
    void connectionEnd(from).then((end) => {
      switch (end) {
        case 'closed':
          last.end();
          break;
        case 'reset':
          to.resetAndDestroy();
          break;
        case 'unknown':
          if (coding) coding.cut();
          else to.end();
          break;
        default:
      }
    });
  });
  from.on('error', () => to.resetAndDestroy());
  from.once('close', () => {
    if (!from.readableEnded) to.resetAndDestroy();
  });
}

function refuse(client: Socket, status: string): void {
  client.on('error', () => undefined);
  client.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}
