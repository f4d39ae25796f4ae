/**
 * A stand-in for one pipeline stage of an inference engine. It holds a range of layers of a model.
 * The stage with the first layers (the head) runs a request and asks the next stage of the chain
 * for each token, which asks the one after it.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Agent, request } from 'undici';
import type { Clock } from '@tanagercart/base';
import { Announcer } from './announcer.js';
import type { StageFaults } from './faults.js';
import { LoadedWeights } from './weights.js';
import type { PlacementOptions, PlacementOrder } from './weights.js';
import { sendJson, jsonLine, listenOnLoopback, readJson, urlOf } from './http.js';
import { SlotQueue } from './slots.js';
import { inputState, naturalTokenCount, runLayers, tokenOf } from './text.js';
import type { AnswerInput } from './text.js';

/** The layers that a stand-in stage holds and its speed. Its announcement contains all fields. */
export interface StageSettings {
  readonly id: string;
  readonly dataCentre: string;
  readonly model: string;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  readonly from: number;
  readonly to: number;
  readonly accelerator: string;
  readonly tokensPerSecond: number;
  readonly slots: number;
  /** Time for one token in this stage with one active sequence, in milliseconds. */
  readonly tokenMs: number;
}

/** One stage of the chain that serves a request: where it is and which layers it runs. */
interface ChainStage {
  readonly upstream: string;
  readonly url: string;
  readonly from: number;
  readonly to: number;
}

/** Confirms which stage ran which layers for a token. */
interface Receipt {
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
}

/** A request to generate the tokens that follow the `passed` ones. */
interface RunBody extends AnswerInput {
  readonly request: string;
  readonly attempt: number;
  readonly passed: readonly string[];
  readonly maxTokens: number;
  readonly priority?: number;
  readonly chain: readonly ChainStage[];
}

/** A request to run the rest of the chain on the hidden state of one token. */
interface LayersBody {
  readonly request: string;
  readonly attempt: number;
  readonly index: number;
  readonly hidden: number;
  readonly chain: readonly ChainStage[];
}

interface LayersReply {
  readonly hidden: number;
  readonly receipts: readonly Receipt[];
}

/** Fraction by which each sequence after the first lengthens a step. */
const stepGrowthPerSequence = 0.02;

/** Limit on the runs that a stage accepts, active and waiting, as a multiple of its slots. */
const maxRunsPerSlot = 4;

/** Interval at which a stalled stage checks whether the fault has ended, in milliseconds. */
const stallPollMs = 50;

/** Optional settings of a stand-in stage. */
export interface FakeStageOptions {
  /** Key that the stage sends with its announcements. */
  readonly upstreamKey?: string;
  /** How the stage handles placement orders; it rejects all of them if this is undefined. */
  readonly placement?: PlacementOptions;
}

/** A stage further along the chain cannot be reached. */
class UnreachableStageError extends Error {
  constructor(
    readonly stageId: string,
    detail: string,
  ) {
    super(detail);
  }
}

/** An HTTP server that simulates one pipeline stage. */
export class FakeStage {
  private readonly server: Server;
  private readonly pool = new Agent({ connections: 64 });
  private readonly runs = new Map<string, AbortController>();
  private readonly slots: SlotQueue;
  private readonly stopping = new AbortController();
  private announcer: Announcer | undefined;
  /** The versions and adapters that the stage has loaded. */
  readonly weights: LoadedWeights;
  /** Faults that a test switches on. */
  readonly faults: StageFaults = {};
  /** Number of tokens that this stage has processed. */
  processedTokens = 0;

  private constructor(
    readonly settings: StageSettings,
    private readonly clock: Clock,
    options: FakeStageOptions,
  ) {
    this.slots = SlotQueue.create(settings.slots);
    this.weights = LoadedWeights.create(settings, options.placement);
    this.server = createServer((req, res) => {
      void this.handle(req, res);
    });
  }

  /** Starts a stage on a free loopback port and announces it at `entries`. */
  static async start(
    settings: StageSettings,
    clock: Clock,
    entries: readonly string[],
    options: FakeStageOptions = {},
  ): Promise<FakeStage> {
    const stage = new FakeStage(settings, clock, options);
    await listenOnLoopback(stage.server);
    const self = () => stage.description;
    stage.announcer = Announcer.start(clock, entries, self, options.upstreamKey);
    return stage;
  }

  get url(): string {
    return urlOf(this.server);
  }

  /** Number of runs, active or waiting, for which this stage is the head of the chain. */
  get activeRuns(): number {
    return this.runs.size;
  }

  /** Announces that the stage is leaving, then stops it. */
  async stop(): Promise<void> {
    await this.announcer?.announceLeaving();
    this.kill();
  }

  /** Stops without an announcement, as a crash does. */
  kill(): void {
    this.announcer?.stop();
    this.stopping.abort();
    for (const run of this.runs.values()) run.abort();
    this.server.closeAllConnections();
    this.server.close();
    void this.pool.destroy();
  }

  private get description() {
    const { settings, weights, slots, url } = this;
    const { versions, adapters } = weights;
    const role = { kind: 'stage', ...settings, versions, adapters };
    const load = { queue: slots.waitingCount, stepMs: this.stepMs };
    return { id: settings.id, url, dataCentre: settings.dataCentre, role, load };
  }

  /** Time for one step with the sequences that are active now, in milliseconds. */
  private get stepMs(): number {
    return (
      this.settings.tokenMs * (1 + stepGrowthPerSequence * Math.max(0, this.slots.runningCount - 1))
    );
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readJson(req);
      if (req.url === '/v1/run') await this.handleRun(body as RunBody, res);
      else if (req.url === '/v1/layers') sendJson(res, await this.forwardPass(body as LayersBody));
      else if (req.url === '/v1/cancel') this.handleCancel(body as RunBody, res);
      else if (req.url === '/v1/holding') sendJson(res, this.weights.state);
      else if (req.url === '/v1/placement') this.handlePlacement(body as PlacementOrder, res);
      else res.writeHead(404).end();
    } catch (error) {
      if (!res.headersSent) res.writeHead(500, { 'content-type': 'application/json' });
      const lost = error instanceof UnreachableStageError ? error.stageId : undefined;
      res.end(JSON.stringify({ error: String(error), lost }));
    }
  }

  private async handleRun(body: RunBody, res: ServerResponse): Promise<void> {
    if (this.runs.size >= this.settings.slots * maxRunsPerSlot) {
      res.writeHead(503).end('queue full');
      return;
    }
    const key = `${body.request}/${body.attempt}`;
    const abort = new AbortController();
    this.runs.set(key, abort);
    res.on('close', () => abort.abort());
    res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    await this.slots.acquire(body.priority ?? 0);
    try {
      await this.generate(body, res, abort.signal);
    } catch (error) {
      const suspect = error instanceof UnreachableStageError ? error.stageId : undefined;
      res.write(jsonLine({ t: 'failed', detail: String(error), suspect }));
    }
    this.slots.release();
    this.runs.delete(key);
    res.end();
  }

  private async generate(body: RunBody, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const natural = naturalTokenCount(body);
    const length = Math.min(natural, body.maxTokens);
    if (this.shouldCrashOn(body)) {
      this.kill();
      return;
    }
    let before = body.passed.at(-1) ?? '';
    for (let index = body.passed.length; index < length; index += 1) {
      const hidden = inputState(body, index, before);
      const { request: id, attempt, chain } = body;
      const reply = await this.forwardPass({ request: id, attempt, index, hidden, chain });
      if (signal.aborted) {
        res.write(jsonLine({ t: 'cancelled' }));
        return;
      }
      before = tokenOf(reply.hidden);
      const { receipts } = reply;
      res.write(jsonLine({ t: 'token', request: id, attempt, index, token: before, receipts }));
    }
    res.write(jsonLine({ t: 'end', reason: natural <= body.maxTokens ? 'stop' : 'length' }));
  }

  /** Runs the layers of this stage, then those of the rest of the chain. */
  private async forwardPass(body: LayersBody): Promise<LayersReply> {
    const { id, from, to } = this.settings;
    await this.clock.sleep(this.stepMs);
    await this.waitWhileStalled();
    this.processedTokens += 1;
    if (this.processedTokens === this.faults.crashAfterTokens) this.kill();
    const hidden = runLayers(body.hidden, from, to);
    const own: Receipt = { upstream: id, from, to };
    const [, ...rest] = body.chain;
    const [next] = rest;
    if (!next) return { hidden, receipts: [own] };
    const reply = await this.forward(next, { ...body, hidden, chain: rest });
    return { hidden: reply.hidden, receipts: [own, ...reply.receipts] };
  }

  private async forward(next: ChainStage, body: LayersBody): Promise<LayersReply> {
    let response;
    try {
      response = await request(`${next.url}/v1/layers`, {
        method: 'POST',
        dispatcher: this.pool,
        body: JSON.stringify(body),
      });
    } catch (error) {
      throw new UnreachableStageError(next.upstream, String(error));
    }
    const reply = (await response.body.json()) as LayersReply & { readonly lost?: string };
    if (reply.lost) throw new UnreachableStageError(reply.lost, 'a later stage is unreachable');
    if (response.statusCode !== 200) throw new Error(`stage ${next.upstream} refused`);
    return reply;
  }

  private shouldCrashOn({ prompt }: RunBody): boolean {
    const { crashOnPrompt } = this.faults;
    return crashOnPrompt !== undefined && prompt.includes(crashOnPrompt);
  }

  private async waitWhileStalled(): Promise<void> {
    const { signal } = this.stopping;
    while (this.faults.stalled && !signal.aborted) await this.clock.sleep(stallPollMs, signal);
  }

  private handlePlacement(order: PlacementOrder, res: ServerResponse): void {
    const refused = this.weights.acceptOrder(order);
    if (refused === undefined) sendJson(res, { accepted: true }, 202);
    else sendJson(res, { error: refused }, 409);
  }

  private handleCancel(body: RunBody, res: ServerResponse): void {
    this.runs.get(`${body.request}/${body.attempt}`)?.abort();
    sendJson(res, { ok: true });
  }
}
