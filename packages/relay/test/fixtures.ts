import { err, ok } from 'neverthrow';
import { AccountId, DataCentreId, RequestId, ServiceId, UpstreamId } from '@tanagercart/base';
import type { CallKind, Route } from '@tanagercart/config';
import { RouteId } from '@tanagercart/config';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type {
  AnswerHead,
  Attempt,
  Call,
  Caller,
  Look,
  Refusal,
  UpstreamAnswer,
  UpstreamClient,
} from '../src/index.js';

export const desk = ServiceId('desk');

export function routeOf(kind: CallKind, change: Partial<Route> = {}): Route {
  return {
    id: RouteId('r'),
    host: 'figs.example',
    prefix: '/desk/',
    kind,
    timeoutMs: 1000,
    objectiveMs: 300,
    pauseMs: 200,
    priority: 1,
    shares: [{ service: desk, weight: 1 }],
    maxAttempts: 2,
    open: false,
    ...change,
  };
}

export function callOf(kind: CallKind, change: Partial<Call> = {}): Call {
  return {
    id: RequestId('a1'),
    method: 'POST',
    path: '/desk/1',
    headers: [],
    body: Buffer.from('body'),
    route: routeOf(kind),
    service: { id: desk, maxConnections: 10, engine: undefined },
    account: AccountId('quay'),
    priority: 1,
    work: undefined,
    lastEvent: undefined,
    startedAt: 0,
    callerDeadline: undefined,
    ...change,
  };
}

export function upstreamOf(id: string, change: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return {
    id: UpstreamId(id),
    born: 1,
    service: desk,
    address: `${id}:1`,
    dataCentre: DataCentreId('north'),
    phase: 'ready',
    slots: 6,
    accelerator: undefined,
    layers: undefined,
    ...change,
  };
}

/** Remembers what a caller was sent. */
export class FakeCaller implements Caller {
  readonly leaving = new AbortController();
  readonly gone: Caller['gone'] = this.leaving.signal;
  head: AnswerHead | undefined;
  body = '';
  ended: 'ended' | 'broken' | undefined;
  refusal: Refusal | undefined;

  start(head: AnswerHead): void {
    this.head = head;
  }

  write(bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString();
    return Promise.resolve();
  }

  end(): void {
    this.ended = 'ended';
  }

  breakOff(): void {
    this.ended = 'broken';
  }

  refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }

  /** What the caller got, in one line. */
  get got(): string {
    if (this.refusal) return this.refusal.kind;
    return `${this.head?.status} ${this.body} ${this.ended}`;
  }
}

/** How one sending ends. */
export type Script =
  | { readonly kind: 'answer'; readonly status: number; readonly chunks: readonly string[] }
  | { readonly kind: 'cut'; readonly chunks: readonly string[] }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'broken' }
  /** Neither answers nor closes. */
  | { readonly kind: 'dark' };

/** Plays one script after the other, and remembers what was sent. */
export class FakeClient implements UpstreamClient {
  readonly sent: Attempt[] = [];
  look: Look = { kind: 'waiting' };

  constructor(private readonly scripts: Script[]) {}

  async send(_: Call, attempt: Attempt, stop: AbortSignal): ReturnType<UpstreamClient['send']> {
    this.sent.push(attempt);
    const script = this.scripts.shift() ?? { kind: 'dark' };
    switch (script.kind) {
      case 'unreachable':
        return err({ kind: 'unreachable', detail: 'refused' });
      case 'broken':
        return err({ kind: 'broken', detail: 'reset' });
      case 'dark':
        await aborted(stop);
        return err({ kind: 'cancelled' });
      case 'not-run':
        return ok(answer(503, [], true));
      case 'cut':
        return ok(answer(200, script.chunks, false, true));
      case 'answer':
      default:
        return ok(answer(script.status, script.chunks));
    }
  }

  lookInto(): Promise<Look> {
    return Promise.resolve(this.look);
  }
}

function answer(
  status: number,
  chunks: readonly string[],
  notRun = false,
  cut = false,
): UpstreamAnswer {
  return {
    head: { status, reason: '', headers: [], untilClose: false },
    notRun,
    culprit: undefined,
    body: bodyOf(chunks, cut),
  };
}

async function* bodyOf(chunks: readonly string[], cut: boolean): AsyncGenerator<Uint8Array> {
  for (const chunk of chunks) yield Buffer.from(chunk);
  if (cut) throw new Error('cut');
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

/** Events with the ids `from` to `to`. */
export function events(from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, i) => `id: ${from + i}\ndata: x\n\n`).join('');
}
