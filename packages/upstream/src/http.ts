/** Clients for engines and services over HTTP, based on undici. */

import type { Socket } from 'node:net';
import { StringDecoder } from 'node:string_decoder';
import { Agent, Client, buildConnector, request } from 'undici';
import type { Dispatcher } from 'undici';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { connectionEnd, watchConnectionEnd } from '@tanagercart/protocol';
import type { ConnectionEnd } from '@tanagercart/protocol';
import type {
  EngineClient,
  FinishReason,
  RunEvent,
  RunFailure,
  RunOrder,
  TokenFrame,
} from './engine.js';
import { isListening } from './listening.js';
import type { SendError, ServiceResponse, ServiceRequest, ServiceClient } from './service.js';

/** Largest number of connections to one upstream. */
const connectionLimit = 2048;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** Timeout for the request that cancels an attempt at a stage, in milliseconds. */
const cancelTimeoutMs = 2000;

/** Codes of errors that occur before a request is written: the upstream has not received it. */
const unsentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One line of the response of an engine. */
type Line =
  | ({ readonly t: 'token' } & TokenFrame)
  | { readonly t: 'end'; readonly reason: FinishReason }
  | { readonly t: 'cancelled' }
  | { readonly t: 'failed'; readonly detail: string; readonly suspect?: string };

/**
 * Creates the connection pool that all clients of a node share. It has no timeout for responses,
 * since generation may take long; a call that takes too long is aborted by its signal.
 */
export function createPool(): Agent {
  return new Agent({
    connections: connectionLimit,
    connect: { timeout: connectTimeoutMs },
    bodyTimeout: 0,
    headersTimeout: 0,
  });
}

/** Runs attempts over HTTP: one POST for each attempt, whose response is lines of JSON. */
export class HttpEngineClient implements EngineClient {
  private constructor(private readonly pool: Dispatcher) {}

  static create(pool: Dispatcher): HttpEngineClient {
    return new HttpEngineClient(pool);
  }

  async *run(order: RunOrder, signal: AbortSignal): AsyncGenerator<RunEvent> {
    const [head] = order.chain;
    if (!head) {
      yield failed({ kind: 'refused', detail: 'the chain has no stage' });
      return;
    }
    try {
      const response = await this.post(`${head.url}/v1/run`, order, signal);
      if (response.statusCode !== 200) {
        yield failed({ kind: 'refused', detail: await response.body.text() });
        return;
      }
      for await (const batch of completeLines(response.body)) {
        const { frames, last } = parseLines(batch);
        if (frames.length > 0) yield { kind: 'tokens', frames };
        if (last) {
          yield last;
          return;
        }
      }
      yield failed({ kind: 'broken', detail: 'the stream ended early', suspect: undefined });
    } catch (error) {
      yield failed(failureOf(error));
    }
  }

  async cancel(order: RunOrder): Promise<void> {
    await Promise.all(order.chain.map((stage) => this.cancelStage(stage.url, order)));
  }

  private async cancelStage(url: string, order: RunOrder): Promise<void> {
    const { request: id, attempt } = order;
    const signal = AbortSignal.timeout(cancelTimeoutMs);
    try {
      const response = await this.post(`${url}/v1/cancel`, { request: id, attempt }, signal);
      await response.body.dump();
    } catch {
      // An engine that cannot be reached has no attempt left to cancel.
    }
  }

  private post(url: string, body: unknown, signal?: AbortSignal) {
    return request(url, {
      method: 'POST',
      dispatcher: this.pool,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      ...(signal ? { signal } : {}),
    });
  }
}

/** Calls services over HTTP. */
export class HttpServiceClient implements ServiceClient {
  /**
   * Services whose last answer told its end by itself. Only a connection of its own tells how an
   * answer without a length ended.
   */
  private readonly framing = new Set<string>();

  private constructor(private readonly pool: Dispatcher) {}

  static create(pool: Dispatcher): HttpServiceClient {
    return new HttpServiceClient(pool);
  }

  async send(
    call: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResponse, SendError>> {
    const { origin } = new URL(call.url);
    const isAlone = call.once || !this.framing.has(origin);
    const connection = isAlone ? SingleUseConnection.create(origin) : undefined;
    try {
      const response = await request(call.url, {
        method: call.method,
        dispatcher: connection?.client ?? this.pool,
        headers: { ...call.headers },
        body: call.body.length > 0 ? call.body : null,
        ...(signal ? { signal } : {}),
      });
      const { headers } = response;
      const contentType = String(headers['content-type'] ?? 'application/octet-stream');
      const body = await response.body.text();
      const answer = ok({ status: response.statusCode, contentType, body });
      if (!isCloseDelimited(call, response)) {
        this.framing.add(origin);
        return answer;
      }
      this.framing.delete(origin);
      if (!connection) return err({ kind: 'lost', detail: 'nothing tells the end of the answer' });
      // The connections of a service that was killed are closed, too.
      const isWhole = (await connection.ending()) === 'closed' && (await isListening(origin));
      if (isWhole) return answer;
      return err({ kind: 'lost', detail: 'the connection broke before the answer was whole' });
    } catch (error) {
      const detail = detailOf(error);
      return err(
        mayHaveBeenSent(error) ? { kind: 'lost', detail } : { kind: 'unreachable', detail },
      );
    } finally {
      void connection?.client.destroy();
    }
  }
}

/** Statuses without a body (RFC 9110). */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether the body of an answer ends only where its connection does (RFC 9112, section 6.3). */
function isCloseDelimited(
  { method }: { readonly method: string },
  { statusCode, headers }: Dispatcher.ResponseData,
): boolean {
  if (method === 'HEAD' || bodilessStatuses.has(statusCode)) return false;
  const hasLength = headers['content-length'] !== undefined;
  return !hasLength && headers['transfer-encoding'] === undefined;
}

/**
 * A connection for a single call. A kept-alive connection may be closed by the service after the
 * request was written, and it would then be unknown whether the service received the request.
 */
class SingleUseConnection {
  readonly client: Client;
  private socket: Socket | undefined;

  private constructor(origin: string) {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, onConnected) =>
        connect(options, (...result) => {
          const [, socket] = result;
          if (socket) this.watch(socket);
          onConnected(...result);
        }),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  static create(origin: string): SingleUseConnection {
    return new SingleUseConnection(origin);
  }

  /** How the service ended the connection; `undici` takes a reset for an ordinary end. */
  ending(): Promise<ConnectionEnd> {
    return this.socket ? connectionEnd(this.socket) : Promise.resolve('unknown');
  }

  private watch(socket: Socket): void {
    this.socket = socket;
    watchConnectionEnd(socket);
  }
}

/**
 * Yields the complete lines that each chunk ends, as one string without the last line break. A line
 * or a UTF-8 character that a chunk cuts is held back until the rest arrives.
 */
async function* completeLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let partial = '';
  const decoder = new StringDecoder('utf8');
  for await (const chunk of chunks) {
    const text = partial + decoder.write(chunk);
    const end = text.lastIndexOf('\n');
    partial = text.slice(end + 1);
    if (end >= 0) yield text.slice(0, end);
  }
}

/** Parses lines: the tokens, and the event that ended the run after them, if any. */
function parseLines(text: string): {
  readonly frames: readonly TokenFrame[];
  readonly last: RunEvent | undefined;
} {
  const frames: TokenFrame[] = [];
  for (const json of text.split('\n')) {
    const line = JSON.parse(json) as Line;
    if (line.t !== 'token') return { frames, last: finalEvent(line) };
    frames.push(line);
  }
  return { frames, last: undefined };
}

function finalEvent(line: Exclude<Line, { readonly t: 'token' }>): RunEvent {
  switch (line.t) {
    case 'end':
      return { kind: 'end', reason: line.reason };
    case 'cancelled':
      return failed({ kind: 'cancelled', detail: 'cancelled at the engine' });
    case 'failed':
      return failed({ kind: 'broken', detail: line.detail, suspect: line.suspect as never });
    default:
      return failed({ kind: 'broken', detail: 'unknown frame', suspect: undefined });
  }
}

function failed(failure: RunFailure): RunEvent {
  return { kind: 'failed', failure };
}

function failureOf(error: unknown): RunFailure {
  const detail = detailOf(error);
  if (!mayHaveBeenSent(error)) return { kind: 'unreachable', detail };
  return { kind: 'broken', detail, suspect: undefined };
}

/** Whether the request may have reached the upstream before `error` occurred. */
function mayHaveBeenSent(error: unknown): boolean {
  const { code } = error as { readonly code?: string };
  return code === undefined || !unsentCodes.has(code);
}

function detailOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
