/** Runs one request as a series of attempts, and yields its answer as one stream. */

import type {
  Clock,
  Digest,
  GrantId,
  Logger,
  Metrics,
  Millis,
  NodeId,
  Random,
  UpstreamId,
} from '@tanagercart/base';
import { Bell, unreachable } from '@tanagercart/base';
import type { AcquireReply, AttemptEnd, ClearedEnd, Grant, Transport } from '@tanagercart/protocol';
import type { Model, Tier } from '@tanagercart/release';
import type { CommandProposer, SharedState } from '@tanagercart/state';
import type { Engines, TokenFrame } from '@tanagercart/upstream';
import { acquire } from './acquire.js';
import type { Acquired } from './acquire.js';
import { endOf, outcomeOf, runOrderOf } from './attempt.js';
import type { Attempt, AttemptOutcome, Permitted } from './attempt.js';
import { ruleOf } from './cause.js';
import { Clearance } from './clearance.js';
import { dispatchingOf } from './dispatching.js';
import type { Dispatching } from './dispatching.js';
import type { Generation, Piece } from './generation.js';
import { Pace } from './pace.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';
import { Retries } from './retry.js';
import { WatchedRun } from './watch.js';
import { Work } from './work.js';

/** How long giving a grant back may take, in milliseconds. */
const releaseTimeoutMs: Millis = 1000;

/** When a request that no gate answered for is told to come again, in milliseconds. */
const gateAgainMs: Millis = 1000;

/** What dispatch needs. */
export interface DispatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly engines: Engines;
  readonly proposals: CommandProposer;
  readonly state: SharedState;
  /** Nodes that own replicas of a model, best first for work of a tier. */
  readonly owners: (model: Model, tier: Tier, prefix: readonly Digest[]) => readonly NodeId[];
  /** Notes that an owner is asked for work of a tier, before its answer. */
  readonly asked: (owner: NodeId, tier: Tier) => void;
  /** Learns from an owner's answer. */
  readonly heard: (
    owner: NodeId,
    tier: Tier,
    reply: AcquireReply,
    prefix: readonly Digest[],
  ) => void;
  /** Nodes that may be the gate of a fingerprint, first the one that is. */
  readonly gates: (fingerprint: Digest) => readonly NodeId[];
}

/** Runs requests on behalf of callers. */
export class Dispatch {
  private readonly retries: Retries;
  private readonly pace = Pace.create();
  private readonly work: Work;
  private readonly clearance: Clearance;
  private readonly running = new Map<GrantId, WatchedRun>();
  /** Grants that were received and not yet given back. */
  private readonly holding = new Set<GrantId>();
  /** Rings at each end of an attempt. */
  readonly ended = Bell.create();

  private constructor(private readonly o: DispatchOptions) {
    this.retries = Retries.create(o);
    this.clearance = Clearance.create(o);
    this.work = Work.create(o.clock);
  }

  static create(options: DispatchOptions): Dispatch {
    const dispatch = new Dispatch(options);
    options.transport.serve('preempt', async (_, call) => {
      const run = dispatch.running.get(call.grant);
      run?.preempt();
      return { known: run !== undefined };
    });
    options.transport.serve('work', async () => dispatch.work.reply());
    options.transport.serve('audit', async (_, { grants }) => ({
      held: grants.filter((id) => dispatch.holding.has(id)),
    }));
    return dispatch;
  }

  /** Attempts in progress. */
  get inProgress(): number {
    return this.running.size;
  }

  /** Yields the answer to one request; aborting `signal` cancels it at the engines. */
  async *generate(g: Generation, signal: AbortSignal): AsyncGenerator<Piece> {
    this.work.begin(g);
    try {
      yield* this.attempts(g, signal);
    } finally {
      this.work.end(g);
    }
  }

  private async *attempts(g: Generation, signal: AbortSignal): AsyncGenerator<Piece> {
    this.retries.request(g.account.id, g.tier.retryBudget);
    const d = dispatchingOf(g, signal, this.o.clock);
    while (!signal.aborted) {
      const permitted = await this.permit(d);
      if (permitted.kind === 'aborted') return;
      if (permitted.kind === 'refused') {
        if (permitted.refusal.reason === 'no-replica') this.work.lacked(g);
        yield refused(d, permitted.refusal);
        return;
      }
      const outcome = yield* this.attempt(d, permitted.grant, permitted.gate);
      if (outcome.kind === 'aborted') return;
      if (outcome.kind === 'answered') {
        yield { kind: 'end', reason: outcome.reason, tokens: d.assembly.passed.length };
        return;
      }
      if (outcome.cause.kind === 'preempted') d.preemptions += 1;
      const refusal = await this.retries.decide(d, permitted.grant, outcome.cause);
      if (refusal) {
        yield refused(d, refusal);
        return;
      }
    }
  }

  /** Acquires a grant and the gate's clearance for it. */
  private async permit(d: Dispatching): Promise<Permitted> {
    for (;;) {
      const acquired = await this.acquire(d);
      if (acquired.kind !== 'granted') return acquired;
      const { grant } = acquired;
      this.holding.add(grant.id);
      const cleared = await this.clearance.ask(d.fingerprint, d.g.id, grant);
      if (cleared.kind === 'cleared') return { kind: 'permitted', grant, gate: cleared.gate };
      this.giveBack(grant, 'cancelled', 0, undefined);
      switch (cleared.kind) {
        case 'quarantined':
          return { kind: 'refused', refusal: quarantined() };
        case 'unreachable':
          return {
            kind: 'refused',
            refusal: notRun('owner-unreachable', 'no gate answered for the request', gateAgainMs),
          };
        case 'wait':
          this.o.metrics.count('gate.wait');
          await this.o.clock.sleep(cleared.againMs, d.signal);
          break;
        default:
          unreachable(cleared);
      }
    }
  }

  private acquire(d: Dispatching): Promise<Acquired> {
    const { g, promise, signal, assembly, prefix } = d;
    const options = {
      ...this.o,
      owners: () => this.o.owners(g.model, g.tier, prefix),
      asked: (owner: NodeId) => this.o.asked(owner, g.tier),
      heard: (owner: NodeId, reply: AcquireReply) => this.o.heard(owner, g.tier, reply, prefix),
    };
    d.attempts += 1;
    return acquire(options, {
      g,
      attempt: d.attempts,
      prefix,
      preemptions: d.preemptions,
      passedTokens: assembly.passed.length,
      avoid: d.failed.map((grant) => grant.replica),
      shun: this.retries.shunned,
      leftMs: () => promise.leftMs(assembly.passed.length),
      signal,
      patient: d.failed.length > 0 || assembly.passed.length > 0,
    });
  }

  /** Runs one attempt, passes its tokens on, and gives its grant back. */
  private async *attempt(
    d: Dispatching,
    grant: Grant,
    gate: NodeId,
  ): AsyncGenerator<Piece, AttemptOutcome> {
    const attempt = this.begin(d, grant, gate);
    this.running.set(grant.id, attempt.run);
    let outcome: AttemptOutcome = { kind: 'aborted' };
    let firstTokenMs: Millis | undefined;
    try {
      let last = attempt.startedAt;
      const bound = () =>
        firstTokenMs === undefined
          ? this.pace.firstBoundMs(d.g.model.id, d.g.tier)
          : this.pace.gapBoundMs(d.g.model.id, d.g.tier);
      for await (const event of attempt.run.events(bound, d.signal)) {
        if (event.kind === 'tokens') {
          const now = this.o.clock.now();
          const index = d.assembly.passed.length;
          const { tokens, fault } = this.take(d, event.frames);
          if (tokens.length > 0 && firstTokenMs === undefined) {
            firstTokenMs = now - attempt.startedAt;
            last = now;
            this.pace.observeFirst(d.g.model.id, d.g.tier, firstTokenMs);
            this.retries.worked(grant.replica);
            this.observeGaps(d, 0, tokens.length - 1);
          } else if (tokens.length > 0) {
            this.observeGaps(d, now - last, tokens.length);
          }
          if (tokens.length > 0) {
            d.promise.resumed();
            yield { kind: 'tokens', tokens, index };
            // A slow caller's time is not the engine's.
            last = this.o.clock.now();
          }
          if (fault === undefined) continue;
          outcome = { kind: 'failed', cause: { kind: 'corrupt', detail: fault } };
          break;
        }
        outcome = outcomeOf(event, d.assembly.passed.length - attempt.tokensBefore);
        break;
      }
      return outcome;
    } finally {
      this.running.delete(grant.id);
      await this.finish(d, attempt, outcome, firstTokenMs);
    }
  }

  /** Judges frames that came together: the tokens to pass on, and the fault after them. */
  private take(
    d: Dispatching,
    frames: readonly TokenFrame[],
  ): { readonly tokens: readonly string[]; readonly fault: string | undefined } {
    const tokens: string[] = [];
    for (const frame of frames) {
      const verdict = d.assembly.take(frame);
      switch (verdict.kind) {
        case 'next':
          tokens.push(verdict.token);
          break;
        case 'drop':
          this.o.metrics.count('frame.dropped', { reason: verdict.why });
          break;
        case 'fault':
          return { tokens, fault: verdict.detail };
        default:
          unreachable(verdict);
      }
    }
    return { tokens, fault: undefined };
  }

  /** Notes the time before the first of some tokens that came together; none lies between them. */
  private observeGaps({ g }: Dispatching, firstMs: Millis, tokens: number): void {
    for (let i = 0; i < tokens; i += 1) {
      this.pace.observeGap(g.model.id, g.tier, i === 0 ? firstMs : 0);
    }
  }

  private begin(d: Dispatching, grant: Grant, gate: NodeId): Attempt {
    const order = runOrderOf(d, grant);
    const { engines, clock, metrics } = this.o;
    return {
      run: WatchedRun.create(engines, clock, metrics, order),
      grant,
      gate,
      startedAt: clock.now(),
      tokensBefore: d.assembly.passed.length,
    };
  }

  /** Gives the grant back, and records a crash before anything is retried. */
  private async finish(
    d: Dispatching,
    attempt: Attempt,
    outcome: AttemptOutcome,
    firstTokenMs: Millis | undefined,
  ): Promise<void> {
    const { grant } = attempt;
    const tokens = d.assembly.passed.length - attempt.tokensBefore;
    this.giveBack(grant, endOf(outcome), tokens, firstTokenMs);
    if (outcome.kind === 'answered') {
      void this.clearance.absolve(d.fingerprint);
      void this.settle(d, attempt, { kind: 'complete' });
    } else if (outcome.kind === 'failed' && ruleOf(outcome.cause).strikes) {
      const suspect = 'suspect' in outcome.cause ? outcome.cause.suspect : undefined;
      await this.settleCrash(d, attempt, suspect);
    } else {
      void this.windUp(d, attempt);
    }
    this.ended.ring();
  }

  /** Settles a cancelled attempt once its engines have dropped it, or crashed all the same. */
  private async windUp(d: Dispatching, attempt: Attempt): Promise<void> {
    const broken = await attempt.run.aftermath;
    if (broken) await this.settleCrash(d, attempt, broken.suspect);
    else await this.settle(d, attempt, { kind: 'ended' });
  }

  private async settleCrash(
    d: Dispatching,
    attempt: Attempt,
    suspect: UpstreamId | undefined,
  ): Promise<void> {
    const upstream = suspect ?? attempt.grant.stages[0]!.upstream;
    const index = await this.clearance.strike(d, upstream);
    await this.settle(d, attempt, { kind: 'crashed', index });
  }

  private settle(d: Dispatching, attempt: Attempt, end: ClearedEnd): Promise<void> {
    return this.clearance.settle(d.fingerprint, attempt.gate, attempt.grant.id, end);
  }

  private giveBack(
    grant: Grant,
    end: AttemptEnd,
    tokens: number,
    firstTokenMs: Millis | undefined,
  ): void {
    this.holding.delete(grant.id);
    const call = { grant: grant.id, end, tokens, firstTokenMs };
    void this.o.transport.call(grant.owner, 'release', call, { timeoutMs: releaseTimeoutMs });
  }
}

/** A refusal as the caller is told of it, given what was sent before. */
function refused(d: Dispatching, refusal: Refusal): Piece {
  return { kind: 'refused', refusal: d.mayHaveRun ? { ...refusal, run: 'unknown' } : refusal };
}

function quarantined(): Refusal {
  return notRun('quarantined', 'this request has crashed the upstreams that ran it');
}
