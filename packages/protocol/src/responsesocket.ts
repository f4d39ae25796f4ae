/** Sockets that bound the bytes without content that they receive; see `Overhead`. */

import type { ClientRequest, IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import type { TcpNetConnectOpts } from 'node:net';
import { connectionEnd, watchConnectionEnd } from './connectionend.js';
import type { ConnectionEnd } from './connectionend.js';
import { Overhead } from './overhead.js';
import { FrameDecoder } from './tunnelframes.js';

/** The error of a connection that received more overhead than a response may have. */
export class OverheadError extends Error {
  private constructor() {
    super('bytes that are no answer, without end');
  }

  static create(): OverheadError {
    return new OverheadError();
  }
}

/** A client's socket. It passes bytes on to the parser as far as the overhead of a response allows. */
export class ResponseSocket extends Socket {
  private overhead = Overhead.create();
  private response: IncomingMessage | undefined;
  /** Bytes received since the request was sent, and bytes of content that were read. */
  private received = 0;
  private contentRead = 0;
  /** Takes the bytes of the target of a tunnel out of frames; undefined where there are none. */
  private frames: FrameDecoder | undefined;
  /** Whether its end does not tell how the upstream ended the connection. */
  private hidesEnd = false;

  /** A socket that connects to an address; it sends without delay. */
  static open(options: TcpNetConnectOpts): ResponseSocket {
    const socket = new ResponseSocket().setNoDelay(true);
    watchConnectionEnd(socket);
    return socket.connect(options);
  }

  /** Bounds what the response to a request may receive; a connection over its bound is destroyed. */
  static bound(request: ClientRequest): void {
    request.once('socket', (socket) => {
      if (socket instanceof ResponseSocket) socket.expect(request);
    });
  }

  /** How the upstream ended the connection, once this has emitted `end`. */
  ending(): Promise<ConnectionEnd> {
    const isHidden = this.hidesEnd || this.frames?.isClosed === false;
    return isHidden ? Promise.resolve('unknown') : connectionEnd(this);
  }

  /**
   * Takes what is received from now on, beginning with `received`, for what the target of a tunnel
   * sends. The end of a `raw` tunnel may be that of the peer.
   */
  enterTunnel(kind: 'framed' | 'raw', received: Buffer): void {
    this.hidesEnd = kind === 'raw';
    if (kind === 'framed') this.frames = FrameDecoder.create();
    const parts = this.frames?.decode(received) ?? [received];
    for (const part of parts.toReversed()) if (part.length > 0) this.unshift(part);
  }

  /** Records that a reader took `bytes` of the content of the response. */
  recordRead(bytes: number): void {
    this.contentRead += bytes;
  }

  /** Passes received bytes on, a part at a time, or the end of the stream. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) return this.pushEnd();
    let accepts = true;
    let from = 0;
    while (from < chunk.length && !this.destroyed) {
      this.overhead.record(this.received - this.readableLength, this.content);
      if (this.overhead.isExceeded) {
        this.destroy(OverheadError.create());
        return false;
      }
      const part = chunk.subarray(from, from + this.overhead.granted);
      from += part.length;
      this.received += part.length;
      accepts = this.accept(part);
    }
    return accepts;
  }

  private accept(bytes: Buffer): boolean {
    if (!this.frames) return super.push(bytes);
    let accepts = true;
    for (const part of this.frames.decode(bytes)) accepts = super.push(part);
    return accepts;
  }

  /**
   * Passes the end of the stream on. A write that still waits meets a reset of the connection in the
   * same turn of the event loop, and the parser would have destroyed the socket by then.
   */
  private pushEnd(): boolean {
    if (this.writableLength === 0) return super.push(null);
    setImmediate(() => {
      if (this.destroyed) return;
      super.push(null);
      this.read(0);
    });
    return false;
  }

  /** Bytes of content of the present response, whether they were read or wait to be. */
  private get content(): number {
    return this.contentRead + (this.response?.readableLength ?? 0);
  }

  private expect(request: ClientRequest): void {
    this.overhead = Overhead.create();
    this.response = undefined;
    this.received = this.readableLength;
    this.contentRead = 0;
    request.on('information', () => this.overhead.recordInterim());
    request.once('response', (response) => {
      this.response = response;
    });
    request.once('close', () => {
      this.response = undefined;
    });
  }
}

/** Yields the content of a response to a request that `ResponseSocket.bound` was called with. */
export async function* contentOf(response: IncomingMessage): AsyncGenerator<Buffer> {
  const { socket } = response;
  for await (const chunk of response) {
    const bytes = chunk as Buffer;
    if (socket instanceof ResponseSocket) socket.recordRead(bytes.length);
    yield bytes;
  }
}
