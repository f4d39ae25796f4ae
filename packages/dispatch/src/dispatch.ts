/**
 * Runs a request as a series of attempts and joins their tokens into one answer. An attempt needs a
 * grant from the owner of a replica and clearance from the gate of its request.
 */

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
import type { EngineClient, TokenFrame } from '@tanagercart/upstream';
import { acquire } from './acquire.js';
import type { AcquireResult } from './acquire.js';
import { endOf, outcomeOf, runOrderOf } from './attempt.js';
import type { Attempt, AttemptOutcome, PermitResult } from './attempt.js';
import { ruleOf } from './cause.js';
import { GateClient } from './gateclient.js';
import { createRequestProgress } from './progress.js';
import type { RequestProgress } from './progress.js';
import type { AnswerEvent, GenerationRequest } from './generation.js';
import { StallTimeouts } from './stalltimeouts.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';
import { RetryPolicy } from './retry.js';
import { WatchedRun } from './watchedrun.js';
import { WorkTracker } from './worktracker.js';

/** Timeout of the call that releases a grant, in milliseconds. */
const releaseTimeoutMs: Millis = 1000;

/** Time after which a caller may retry if no gate replied, in milliseconds. */
const gateRetryAfterMs: Millis = 1000;

/** Dependencies of `Dispatch`. */
export interface DispatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly engines: EngineClient;
  readonly proposals: CommandProposer;
  readonly state: SharedState;
  /** Nodes that own replicas of a model, in order of preference for a tier and a prompt prefix. */
  readonly owners: (model: Model, tier: Tier, prefix: readonly Digest[]) => readonly NodeId[];
  /** Records that a call for a grant under a tier starts. */
  readonly recordAcquire: (owner: NodeId, tier: Tier) => void;
  /** Records the reply of an owner. */
  readonly recordReply: (
    owner: NodeId,
    tier: Tier,
    reply: AcquireReply,
    prefix: readonly Digest[],
  ) => void;
  /** Nodes in the order in which they act as the gate of a fingerprint. */
  readonly gates: (fingerprint: Digest) => readonly NodeId[];
}

/** Runs the requests of callers. */
export class Dispatch {
  private readonly retryPolicy: RetryPolicy;
  private readonly stallTimeouts = StallTimeouts.create();
  private readonly work: WorkTracker;
  private readonly gateClient: GateClient;
  /** Attempts in progress. */
  private readonly running = new Map<GrantId, WatchedRun>();
  /** Grants that were received and are not released yet. Owners audit them against their own. */
  private readonly heldGrants = new Set<GrantId>();
  /** Rings when an attempt ends. */
  readonly attemptEnded = Bell.create();

  private constructor(private readonly o: DispatchOptions) {
    this.retryPolicy = RetryPolicy.create(o);
    this.gateClient = GateClient.create(o);
    this.work = WorkTracker.create(o.clock);
  }

  /** Creates a dispatch and serves the calls of owners and of the placement holder to it. */
  static create(options: DispatchOptions): Dispatch {
    const dispatch = new Dispatch(options);
    options.transport.serve('preempt', async (_, call) => {
      const run = dispatch.running.get(call.grant);
      run?.preempt();
      return { known: run !== undefined };
    });
    options.transport.serve('work', async () => dispatch.work.reply());
    options.transport.serve('audit', async (_, { grants }) => ({
      held: grants.filter((id) => dispatch.heldGrants.has(id)),
    }));
    return dispatch;
  }

  /** Number of attempts in progress. */
  get inProgress(): number {
    return this.running.size;
  }

  /** Yields the answer to one request. Aborting `signal` cancels the request at the engines. */
  async *generate(request: GenerationRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    this.work.begin(request);
    try {
      yield* this.runAttempts(request, signal);
    } finally {
      this.work.end(request);
    }
  }

  private async *runAttempts(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent> {
    this.retryPolicy.recordRequest(request.account.id, request.tier.retryBudget);
    const progress = createRequestProgress(request, signal, this.o.clock);
    while (!signal.aborted) {
      const permitted = await this.permit(progress);
      if (permitted.kind === 'aborted') return;
      if (permitted.kind === 'refused') {
        if (permitted.refusal.reason === 'no-replica') this.work.recordUnserved(request);
        yield refusalEvent(progress, permitted.refusal);
        return;
      }
      const outcome = yield* this.attempt(progress, permitted.grant, permitted.gate);
      if (outcome.kind === 'aborted') return;
      if (outcome.kind === 'answered') {
        yield { kind: 'end', reason: outcome.reason, tokens: progress.assembly.passed.length };
        return;
      }
      if (outcome.cause.kind === 'preempted') progress.preemptions += 1;
      const refusal = await this.retryPolicy.decide(progress, permitted.grant, outcome.cause);
      if (refusal) {
        yield refusalEvent(progress, refusal);
        return;
      }
    }
  }

  /** Acquires a grant and clearance for it. The grant is released while the gate makes it wait. */
  private async permit(progress: RequestProgress): Promise<PermitResult> {
    for (;;) {
      const acquired = await this.acquire(progress);
      if (acquired.kind !== 'granted') return acquired;
      const { grant } = acquired;
      this.heldGrants.add(grant.id);
      const cleared = await this.gateClient.clear(progress.fingerprint, progress.request.id, grant);
      if (cleared.kind === 'cleared') return { kind: 'permitted', grant, gate: cleared.gate };
      this.releaseGrant(grant, 'cancelled', 0, undefined);
      switch (cleared.kind) {
        case 'quarantined':
          return { kind: 'refused', refusal: quarantinedRefusal() };
        case 'unreachable':
          return {
            kind: 'refused',
            refusal: notRun(
              'owner-unreachable',
              'no gate answered for the request',
              gateRetryAfterMs,
            ),
          };
        case 'wait':
          this.o.metrics.count('gate.wait');
          await this.o.clock.sleep(cleared.againMs, progress.signal);
          break;
        default:
          unreachable(cleared);
      }
    }
  }

  private acquire(progress: RequestProgress): Promise<AcquireResult> {
    const { request, deadline, signal, assembly, prefix } = progress;
    const options = {
      ...this.o,
      owners: () => this.o.owners(request.model, request.tier, prefix),
      recordAcquire: (owner: NodeId) => this.o.recordAcquire(owner, request.tier),
      recordReply: (owner: NodeId, reply: AcquireReply) =>
        this.o.recordReply(owner, request.tier, reply, prefix),
    };
    progress.attempts += 1;
    return acquire(options, {
      request,
      attempt: progress.attempts,
      prefix,
      preemptions: progress.preemptions,
      passedTokens: assembly.passed.length,
      avoid: progress.failedGrants.map((grant) => grant.replica),
      lastResort: this.retryPolicy.lastResort,
      leftMs: () => deadline.leftMs(assembly.passed.length),
      signal,
      waitsForRoom: progress.failedGrants.length > 0 || assembly.passed.length > 0,
    });
  }

  /** Runs one attempt, passes its tokens on, and releases its grant. */
  private async *attempt(
    progress: RequestProgress,
    grant: Grant,
    gate: NodeId,
  ): AsyncGenerator<AnswerEvent, AttemptOutcome> {
    const attempt = this.createAttempt(progress, grant, gate);
    this.running.set(grant.id, attempt.run);
    let outcome: AttemptOutcome = { kind: 'aborted' };
    let firstTokenMs: Millis | undefined;
    try {
      let lastTokenAt = attempt.startedAt;
      const timeout = () =>
        firstTokenMs === undefined
          ? this.stallTimeouts.firstTokenTimeoutMs(progress.request.model.id, progress.request.tier)
          : this.stallTimeouts.gapTimeoutMs(progress.request.model.id, progress.request.tier);
      for await (const event of attempt.run.events(timeout, progress.signal)) {
        if (event.kind === 'tokens') {
          const now = this.o.clock.now();
          const index = progress.assembly.passed.length;
          const { tokens, fault } = this.addFrames(progress, event.frames);
          if (tokens.length > 0 && firstTokenMs === undefined) {
            firstTokenMs = now - attempt.startedAt;
            lastTokenAt = now;
            this.stallTimeouts.observeFirstToken(
              progress.request.model.id,
              progress.request.tier,
              firstTokenMs,
            );
            this.retryPolicy.recordSuccess(grant.replica);
            this.observeGaps(progress, 0, tokens.length - 1);
          } else if (tokens.length > 0) {
            this.observeGaps(progress, now - lastTokenAt, tokens.length);
          }
          if (tokens.length > 0) {
            progress.deadline.recordToken();
            yield { kind: 'tokens', tokens, index };
            // The time that a slow caller takes must not count as a gap of the engine.
            lastTokenAt = this.o.clock.now();
          }
          if (fault === undefined) continue;
          outcome = { kind: 'failed', cause: { kind: 'corrupt', detail: fault } };
          break;
        }
        outcome = outcomeOf(event, progress.assembly.passed.length - attempt.tokensBefore);
        break;
      }
      return outcome;
    } finally {
      this.running.delete(grant.id);
      await this.finishAttempt(progress, attempt, outcome, firstTokenMs);
    }
  }

  /** Adds frames that arrived together. Returns the tokens to pass on, and the fault after them. */
  private addFrames(
    progress: RequestProgress,
    frames: readonly TokenFrame[],
  ): { readonly tokens: readonly string[]; readonly fault: string | undefined } {
    const tokens: string[] = [];
    for (const frame of frames) {
      const result = progress.assembly.add(frame);
      switch (result.kind) {
        case 'next':
          tokens.push(result.token);
          break;
        case 'drop':
          this.o.metrics.count('frame.dropped', { reason: result.reason });
          break;
        case 'fault':
          return { tokens, fault: result.detail };
        default:
          unreachable(result);
      }
    }
    return { tokens, fault: undefined };
  }

  /** Records the gaps of tokens that arrived together: `firstMs` before the first, then none. */
  private observeGaps({ request }: RequestProgress, firstMs: Millis, tokens: number): void {
    for (let i = 0; i < tokens; i += 1) {
      this.stallTimeouts.observeGap(request.model.id, request.tier, i === 0 ? firstMs : 0);
    }
  }

  private createAttempt(progress: RequestProgress, grant: Grant, gate: NodeId): Attempt {
    const order = runOrderOf(progress, grant);
    const { engines, clock, metrics } = this.o;
    return {
      run: WatchedRun.create(engines, clock, metrics, order),
      grant,
      gate,
      startedAt: clock.now(),
      tokensBefore: progress.assembly.passed.length,
    };
  }

  /** Releases the grant. A crash is recorded before this resolves, and so before any retry. */
  private async finishAttempt(
    progress: RequestProgress,
    attempt: Attempt,
    outcome: AttemptOutcome,
    firstTokenMs: Millis | undefined,
  ): Promise<void> {
    const { grant } = attempt;
    const tokens = progress.assembly.passed.length - attempt.tokensBefore;
    this.releaseGrant(grant, endOf(outcome), tokens, firstTokenMs);
    if (outcome.kind === 'answered') {
      void this.gateClient.absolve(progress.fingerprint);
      void this.settle(progress, attempt, { kind: 'complete' });
    } else if (outcome.kind === 'failed' && ruleOf(outcome.cause).strikes) {
      const suspect = 'suspect' in outcome.cause ? outcome.cause.suspect : undefined;
      await this.settleCrash(progress, attempt, suspect);
    } else {
      void this.settleCancelled(progress, attempt);
    }
    this.attemptEnded.ring();
  }

  /** Settles a cancelled attempt once its engines have dropped it, or crashed even so. */
  private async settleCancelled(progress: RequestProgress, attempt: Attempt): Promise<void> {
    const broken = await attempt.run.brokenAfterCancel;
    if (broken) await this.settleCrash(progress, attempt, broken.suspect);
    else await this.settle(progress, attempt, { kind: 'ended' });
  }

  private async settleCrash(
    progress: RequestProgress,
    attempt: Attempt,
    suspect: UpstreamId | undefined,
  ): Promise<void> {
    const upstream = suspect ?? attempt.grant.stages[0]!.upstream;
    const index = await this.gateClient.recordStrike(progress, upstream);
    await this.settle(progress, attempt, { kind: 'crashed', index });
  }

  private settle(progress: RequestProgress, attempt: Attempt, end: ClearedEnd): Promise<void> {
    return this.gateClient.settle(progress.fingerprint, attempt.gate, attempt.grant.id, end);
  }

  private releaseGrant(
    grant: Grant,
    end: AttemptEnd,
    tokens: number,
    firstTokenMs: Millis | undefined,
  ): void {
    this.heldGrants.delete(grant.id);
    const call = { grant: grant.id, end, tokens, firstTokenMs };
    void this.o.transport.call(grant.owner, 'release', call, { timeoutMs: releaseTimeoutMs });
  }
}

/** A refusal as it is sent to the caller: `not-run` only if no earlier attempt may have run. */
function refusalEvent(progress: RequestProgress, refusal: Refusal): AnswerEvent {
  return {
    kind: 'refused',
    refusal: progress.mayHaveRun ? { ...refusal, run: 'unknown' } : refusal,
  };
}

function quarantinedRefusal(): Refusal {
  return notRun('quarantined', 'this request has crashed the upstreams that ran it');
}
