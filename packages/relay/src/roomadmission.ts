/**
 * Admission of requests by the room of their service, as this entry knows it from its view of the
 * fleet. Services without an engine have no room that is known, so all their requests are admitted.
 */

import { Admission, roomOf } from '@tanagercart/admission';
import type { Amount, Conditions, Decision, Figures } from '@tanagercart/admission';
import type { Clock, Logger, Metrics, Millis, Random, ServiceId } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import type { FleetView } from '@tanagercart/fleet';
import { tokenLayerCapacityOf } from '@tanagercart/layers';
import type { ServiceDemand, UpstreamRecord } from '@tanagercart/protocol';
import { expectedWork } from './balancer.js';
import { deadlineOf } from './call.js';
import type { Call } from './call.js';

/** Reports older than this count as unknown; in large fleets the leader holds calls for 1.5 s. */
const maxReportAgeMs: Millis = 2500;

/** What the others use is summed again after this time, as it takes all upstreams. */
const peerUseMaxAgeMs: Millis = 50;

/** Refusals that are logged in one second; an entry may refuse some hundred. */
const maxLinesPerSecond = 20;
const secondMs: Millis = 1000;

export interface RoomAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly view: FleetView;
}

/** Whether a request may be sent to an upstream. */
export type Admittance =
  | { readonly kind: 'admitted'; readonly end: () => void }
  | { readonly kind: 'refused'; readonly retryAfterMs: Millis };

/** What is derived of the upstreams of a service, and what it was derived from. */
interface KnownRoom {
  readonly revision: number;
  readonly engine: Engine;
  readonly layers: readonly UpstreamRecord[];
  readonly room: Amount;
}

interface ServiceState {
  readonly admission: Admission;
  known: KnownRoom | undefined;
  peers: { readonly at: Millis; readonly use: Amount };
  /** Figures of the last decision. */
  figures: Figures | undefined;
}

/** Decides for each request whether it may be sent to an upstream. */
export class RoomAdmission {
  private readonly services = new Map<ServiceId, ServiceState>();
  private second = { startedAt: -Infinity, lines: 0 };
  /** Refusals since the last log line. */
  private refusals = 0;

  private constructor(private readonly o: RoomAdmissionOptions) {}

  static create(options: RoomAdmissionOptions): RoomAdmission {
    return new RoomAdmission(options);
  }

  /** Tokens per second that requests at this entry ask for. */
  get demand(): readonly ServiceDemand[] {
    const now = this.o.clock.now();
    return [...this.services].map(([service, { admission }]) => ({
      service,
      tokensPerSecond: admission.demandPerSecond(now).map(Math.round),
    }));
  }

  /** Decides on a request before its first attempt; an admitted one is ended exactly once. */
  admit(call: Call): Admittance {
    const { clock, random, metrics } = this.o;
    const { engine } = call.service;
    if (!engine) return { kind: 'admitted', end: () => undefined };
    const now = clock.now();
    const state = this.stateOf(call.service.id);
    const decision = state.admission.decide(
      requestOf(call, engine, now),
      this.conditionsOf(call.service.id, engine, state, now),
      random.next(),
      now,
    );
    state.figures = decision.figures;
    const tags = { priority: String(call.priority), reason: decision.by };
    if (decision.kind === 'admitted') {
      metrics.count('admission.admitted', tags);
      return { kind: 'admitted', end: () => decision.end(clock.now()) };
    }
    metrics.count('admission.refused', { ...tags, room: decision.isBooked ? 'booked' : 'none' });
    this.log(call, decision, now);
    return { kind: 'refused', retryAfterMs: decision.retryAfterMs };
  }

  /** Shows room, use and share as of the last decision for each service. */
  updateGauges(): void {
    const { metrics } = this.o;
    for (const [service, { figures }] of this.services) {
      if (!figures) continue;
      const tags = { service };
      metrics.gauge('admission.room-tokens', figures.roomTokens, tags);
      metrics.gauge('admission.used-part', figures.usedPart, tags);
      metrics.gauge('admission.own-part', figures.ownPart, tags);
      metrics.gauge('admission.share-part', figures.sharePart, tags);
    }
  }

  private stateOf(service: ServiceId): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const state: ServiceState = {
      admission: Admission.create(),
      known: undefined,
      peers: { at: -Infinity, use: { tokens: 0, requests: 0 } },
      figures: undefined,
    };
    this.services.set(service, state);
    return state;
  }

  private conditionsOf(
    service: ServiceId,
    engine: Engine,
    state: ServiceState,
    now: Millis,
  ): Conditions {
    const { view } = this.o;
    const known = this.knownRoom(service, engine, state);
    const isRecent = view.ageMs <= maxReportAgeMs;
    return {
      room: known.room,
      peerUse: isRecent ? this.peerUseOf(known, state, now) : undefined,
      peerDemand: isRecent ? view.peerDemandFor(service) : undefined,
      entries: Math.max(1, view.entries.filter((e) => e.phase === 'ready').length),
      reporters: view.demandReporters,
    };
  }

  /** The room, which is derived again where upstreams or the configuration have changed. */
  private knownRoom(service: ServiceId, engine: Engine, state: ServiceState): KnownRoom {
    const { view } = this.o;
    const { known } = state;
    if (known?.revision === view.revision && known.engine === engine) return known;
    const layers = [...view.upstreams.values()].filter(
      (u) => u.service === service && u.phase === 'ready' && u.layers,
    );
    const stages = layers.flatMap((u) => stageOf(engine, u));
    const room = roomOf(stages, engine.layerCount);
    state.known = { revision: view.revision, engine, layers, room };
    return state.known;
  }

  /** What the requests of the other entries hold at the upstreams that make up the room. */
  private peerUseOf({ engine, layers }: KnownRoom, state: ServiceState, now: Millis): Amount {
    if (now - state.peers.at < peerUseMaxAgeMs) return state.peers.use;
    let tokenLayers = 0;
    let requests = 0;
    for (const { id } of layers) {
      const load = this.o.view.peerLoadAt(id);
      tokenLayers += load?.tokenLayers ?? 0;
      requests += load?.entered ?? 0;
    }
    state.peers = { at: now, use: { tokens: tokenLayers / engine.layerCount, requests } };
    return state.peers.use;
  }

  private log(call: Call, decision: Extract<Decision, { kind: 'refused' }>, now: Millis): void {
    this.refusals += 1;
    if (now - this.second.startedAt >= secondMs) this.second = { startedAt: now, lines: 0 };
    if (this.second.lines >= maxLinesPerSecond) return;
    this.second.lines += 1;
    const { roomTokens, usedPart, ownPart, sharePart, ceiling } = decision.figures;
    this.o.logger.info('No room for a request.', {
      request: call.id,
      route: call.route.id,
      service: call.service.id,
      account: call.account,
      priority: call.priority,
      reason: decision.by,
      roomTokens: Math.round(roomTokens),
      used: usedPart.toFixed(3),
      ceiling: ceiling.toFixed(3),
      own: ownPart.toFixed(3),
      share: sharePart.toFixed(3),
      retryAfterMs: Math.round(decision.retryAfterMs),
      refusals: this.refusals,
    });
    this.refusals = 0;
  }
}

function requestOf(call: Call, engine: Engine, now: Millis) {
  const { promptTokens, answerTokens } = expectedWork(call, engine);
  return {
    priority: call.priority,
    account: call.account ?? '',
    weight: 1,
    // Whole tokens, so that sums of what is held come back to 0.
    tokens: Math.max(1, Math.ceil(promptTokens + answerTokens)),
    isResumed: call.lastEvent !== undefined,
    remainingMs: Math.max(0, deadlineOf(call) - now),
  };
}

/** The upstream as a part of the room; empty where its accelerator is not known. */
function stageOf(engine: Engine, { layers, accelerator, slots }: UpstreamRecord) {
  const kind = engine.accelerators.find((a) => a.name === accelerator);
  if (!kind || !layers) return [];
  const capacity = tokenLayerCapacityOf(engine, kind, layers.to - layers.from);
  return [{ layers, tokenLayerCapacity: Math.max(0, capacity), slots }];
}
