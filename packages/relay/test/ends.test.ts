import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { HeldClock, UpstreamId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { CallKind } from '@tanagercart/config';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Attempt, Call, ProbeResult, Refusal, UpstreamClient } from '../src/index.js';
import {
  FakeCaller,
  callOf,
  events,
  relayOf,
  responseOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Sent } from './fixtures.js';

const timeoutMs: Millis = 6000;
const eventCount = 8;
const whole = events(0, eventCount - 1);

/** Sends of one request, attempts at gone upstreams, and the time that an attempt needs. */
const bounds = { sends: 4, misses: 12, remainingMs: 30 };

/** What an upstream does with an attempt, after a silence. */
interface Fate {
  readonly silentMs: Millis;
  readonly then:
    | 'answer'
    | 'break'
    | 'break-in-head'
    | 'error'
    | 'missing'
    | 'not-run'
    | 'gone'
    | 'connect-timeout'
    /** It ends; the connection stays open, and a probe is refused. */
    | 'vanish';
  /** Events before the silence, and before a break after it. */
  readonly before: number;
  readonly after: number;
}

/** One attempt, and what has become of it. */
interface Played {
  readonly id: string;
  inProgress: boolean;
  isSilent: boolean;
  /** Whether its upstream cannot have run it. */
  hasNotRun: boolean;
  isMiss: boolean;
}

/** Upstreams whose n-th attempts are played by their n-th fates, and answered after these. */
class World implements UpstreamClient {
  readonly attempts: Played[] = [];
  /** Upstreams that have failed for the request. */
  readonly failed = new Set<string>();
  private readonly vanished = new Set<string>();

  constructor(
    private readonly clock: HeldClock,
    private readonly fates: ReadonlyMap<string, readonly Fate[]>,
  ) {}

  async send(_: Call, attempt: Attempt, stop: AbortSignal): Promise<Sent> {
    const { id } = attempt.upstream;
    const played: Played = {
      id,
      inProgress: true,
      isSilent: false,
      hasNotRun: false,
      isMiss: false,
    };
    const nth = this.attempts.filter((a) => a.id === id).length;
    const fate = this.fates.get(id)?.[nth];
    this.attempts.push(played);
    const sent = await this.play(fate ?? sound, played, attempt, stop);
    if (sent.isErr()) played.inProgress = false;
    return sent;
  }

  private async play(
    fate: Fate,
    played: Played,
    { lastEvent = -1 }: Attempt,
    stop: AbortSignal,
  ): Promise<Sent> {
    const { then } = fate;
    const inBody = then === 'answer' || then === 'break' || then === 'vanish';
    if (inBody && fate.before > 0) {
      return ok({ ...responseOf(200, []), body: this.body(fate, played, lastEvent + 1, stop) });
    }
    await this.fallSilent(fate, played, stop);
    if (stop.aborted) return err({ kind: 'cancelled' });
    if (inBody) {
      return ok({ ...responseOf(200, []), body: this.body(fate, played, lastEvent + 1, stop) });
    }
    if (then !== 'connect-timeout') this.failed.add(played.id);
    played.hasNotRun = then === 'not-run' || then === 'gone' || then === 'connect-timeout';
    played.isMiss = then === 'gone';
    if (then === 'gone' || then === 'connect-timeout') {
      return err({ kind: 'unreachable', detail: then, isGone: then === 'gone' });
    }
    if (then === 'break-in-head') return err({ kind: 'broken', detail: then });
    played.inProgress = false;
    if (then === 'not-run') return ok(responseOf(503, [], true));
    return ok(responseOf(then === 'error' ? 500 : 404, ['no']));
  }

  private async *body(fate: Fate, played: Played, first: number, stop: AbortSignal) {
    try {
      let left = fate.before;
      let isOver = fate.before === 0;
      for (let event = first; event < eventCount; event += 1) {
        if (left === 0 && !isOver) {
          await this.fallSilent(fate, played, stop);
          isOver = true;
          left = fate.after;
        }
        const breaks = isOver && fate.then !== 'answer' && left === 0;
        if (breaks) this.failed.add(played.id);
        if (breaks || stop.aborted) throw new Error('cut');
        left = Math.max(0, left - 1);
        yield Buffer.from(events(event, event));
        await this.clock.sleep(20, stop);
      }
    } finally {
      played.inProgress = false;
    }
  }

  private async fallSilent({ silentMs, then }: Fate, played: Played, stop: AbortSignal) {
    played.isSilent = true;
    if (then === 'vanish') {
      this.vanished.add(played.id);
      this.failed.add(played.id);
    }
    await this.clock.sleep(then === 'vanish' ? timeoutMs * 2 : silentMs, stop);
    played.isSilent = false;
  }

  async probe(_: Call, { id }: UpstreamRecord): Promise<ProbeResult> {
    if (this.vanished.has(id)) return { kind: 'gone', detail: 'refused' };
    const isSilent = () => this.attempts.some((a) => a.id === id && a.inProgress && a.isSilent);
    if (!isSilent()) return { kind: 'waiting' };
    await this.clock.sleep(500);
    return isSilent() ? { kind: 'silent', detail: 'no answer in time' } : { kind: 'waiting' };
  }

  /** An upstream that could go on with the request, within its bounds. */
  candidate(isRepeatable: boolean, maxAttempts: number): string | undefined {
    const ran = new Set(this.attempts.filter((a) => !a.hasNotRun).map((a) => a.id));
    const misses = this.attempts.filter((a) => a.isMiss).length;
    if (this.attempts.length - misses >= bounds.sends || misses >= bounds.misses) return undefined;
    if (ran.size > 0 && !isRepeatable) return undefined;
    return [...this.fates.keys()].find(
      (id) => !this.failed.has(id) && new Set([...ran, id]).size <= maxAttempts,
    );
  }
}

const sound: Fate = { silentMs: 1, then: 'answer', before: 1, after: 0 };

const fate: fc.Arbitrary<Fate> = fc.record({
  silentMs: fc.oneof(fc.constant(1), fc.integer({ min: 1, max: 2500 })),
  then: fc.constantFrom(
    'answer' as const,
    'break' as const,
    'break' as const,
    'break-in-head' as const,
    'error' as const,
    'missing' as const,
    'not-run' as const,
    'gone' as const,
    'gone' as const,
    'connect-timeout' as const,
    'vanish' as const,
  ),
  before: fc.nat(3),
  after: fc.nat(3),
});

const scenario = fc.record({
  fates: fc.array(fc.array(fate, { maxLength: 3 }), { minLength: 1, maxLength: 6 }),
  kind: fc.constantFrom<CallKind>(
    'resumable-stream',
    'resumable-stream',
    'stream',
    'idempotent',
    'non-idempotent',
  ),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

async function play({ fates, kind, maxAttempts }: Scenario): Promise<readonly string[]> {
  const clock = HeldClock.create();
  const ids = fates.map((_, i) => UpstreamId(`u${i}`));
  const world = new World(clock, new Map(ids.map((id, i) => [id, fates[i]!])));
  const view = viewOf(
    clock,
    ids.map((id) => upstreamOf(id)),
  );
  const { relay } = relayOf({ clock, client: world, view });
  const route = routeOf(kind, { latencyTargetMs: 500, timeoutMs, maxAttempts });
  const isRepeatable = kind === 'idempotent' || kind === 'resumable-stream';
  const ends: string[] = [];
  const faults: string[] = [];
  /** An end without a whole answer, which no upstream could have given. */
  const endShort = (what: string) => {
    ends.push(what);
    const candidate = world.candidate(isRepeatable, maxAttempts);
    const inTime = clock.now() <= timeoutMs - bounds.remainingMs;
    if (inTime && candidate) faults.push(`${what}, although ${candidate} could go on`);
    if (!inTime && clock.now() < timeoutMs && what === 'timeout') faults.push('early timeout');
  };
  class Recorder extends FakeCaller {
    override end() {
      super.end();
      const { status } = this.head ?? {};
      if (status === 500 && isRepeatable) endShort('error');
      else ends.push('answered');
      if (status === 200 && this.body !== whole) faults.push('not whole');
    }
    override abort() {
      super.abort();
      endShort('cut');
    }
    override refuse(refusal: Refusal) {
      super.refuse(refusal);
      endShort(refusal.kind);
      if (refusal.kind === 'not-run' && world.attempts.some((a) => !a.hasNotRun)) {
        faults.push('refused as not run after a run');
      }
    }
  }
  const caller = new Recorder();
  let isOver = false;
  void relay.serve(callOf(kind, { route }), caller).then(() => {
    isOver = true;
  });
  while (!isOver && clock.now() < timeoutMs + 500) await clock.advance(20);
  if (!isOver) faults.push('serve has not resolved');
  if (ends.length !== 1) faults.push(`ends: ${ends.join(', ') || 'none'}`);
  const ran = world.attempts.filter((a) => !a.hasNotRun);
  if (!isRepeatable && ran.length > 1) faults.push('ran twice');
  if (new Set(ran.map((a) => a.id)).size > maxAttempts) faults.push('too many upstreams');
  return faults;
}

test('whatever upstreams do, a request ends once, and short only if no upstream could go on', async () => {
  await fc.assert(
    fc.asyncProperty(scenario, async (drawn) => {
      assert.deepEqual(await play(drawn), []);
    }),
    { numRuns: 500 },
  );
});
