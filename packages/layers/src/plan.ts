/**
 * Decides which layers each upstream holds. Used in two situations. At a cold start it builds
 * complete pipelines close to the callers before the first request, with each layer held by about as
 * many upstreams as any other, as the scarcest layer bounds the requests that fit. When upstreams are
 * lost, join or leave, it first covers the layers with the fewest replicas, and leaves upstreams that
 * serve requests where they are.
 */

import type { DataCentreId, Millis, UpstreamId } from '@tanagercart/base';
import type { Accelerator, Engine } from '@tanagercart/config';
import { intersect } from './stage.js';
import type { LayerRange } from './stage.js';

/** An upstream that can hold layers. */
export interface LayerHost {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  readonly accelerator: Accelerator;
  /** The layers that it holds or is loading; undefined where it is empty. */
  readonly layers: LayerRange | undefined;
  /** Whether an order to it is in progress; it accepts no other until that one has ended. */
  readonly busy: boolean;
  /** Requests in progress whose path includes it; it drops its layers once they have ended. */
  readonly sequences: number;
}

/** Layers that an upstream should load, in place of those that it holds. */
export interface Assignment {
  readonly id: UpstreamId;
  readonly layers: LayerRange;
}

/**
 * Shares of an upstream's memory that layers may take, smallest first. The rest holds the KV cache
 * of requests, so a larger share is used only where the smaller ones don't fit a whole model.
 */
const layerMemoryShares = [0.75, 0.8, 0.93] as const;

/** Penalty for each further range that a host overlaps; small, so that it only breaks ties. */
const straddlePenalty = 1e-3;

/** Hosts that hold a layer, at the least, so that the loss of one leaves no gap. */
const backedCoverage = 2;

/** Estimated time until the requests in progress on a host have ended. */
const drainEstimateMs: Millis = 3000;

/** Hosts that should hold all layers together: those of one data centre where they suffice. */
interface HostGroup {
  readonly hosts: LayerHost[];
  /** The number of hosts that hold each layer. */
  readonly coverage: number[];
  /** For each layer, the size of the largest range with it: the gap if that range's host fails. */
  readonly largestRanges: number[];
  /** The first layers of all ranges. */
  readonly rangeStarts: Set<number>;
}

/** How many layers fit into `share` of the accelerator's memory; at most all of them. */
export function layerCapacity(engine: Engine, accelerator: Accelerator, share: number): number {
  const fitting = Math.floor((accelerator.memoryMb * share) / engine.layerMb);
  return Math.min(engine.layerCount, fitting);
}

/**
 * The orders to give now: empty hosts get layers, and redundant hosts move to layers that no host
 * of their group holds. Returns none where every host has layers and none are missing.
 */
export function planLayers(engine: Engine, hosts: readonly LayerHost[]): readonly Assignment[] {
  const plan = Plan.create(engine, hosts);
  return plan.groups.flatMap((group) => [
    ...assignEmptyHosts(plan, group),
    ...closeGaps(plan, group),
  ]);
}

/** The hosts in their groups, and the share of their memory that layers may take. */
class Plan {
  readonly groups: readonly HostGroup[];

  private constructor(
    readonly engine: Engine,
    hosts: readonly LayerHost[],
    private readonly memoryShare: number,
  ) {
    // An upstream may say that it holds more layers than the model has.
    const model = { from: 0, to: engine.layerCount };
    const bounded = hosts.map((h) => ({ ...h, layers: h.layers && intersect(h.layers, model) }));
    const usable = bounded.filter((h) => this.capacityOf(h) > 0);
    this.groups = this.groupHosts(usable);
  }

  /**
   * Uses the smallest share of memory with which the hosts together fit a whole model, or the
   * smallest share of all where none suffices.
   */
  static create(engine: Engine, hosts: readonly LayerHost[]): Plan {
    const suffices = (share: number) =>
      hosts.reduce((sum, h) => sum + layerCapacity(engine, h.accelerator, share), 0) >=
      engine.layerCount;
    return new Plan(engine, hosts, layerMemoryShares.find(suffices) ?? layerMemoryShares[0]);
  }

  capacityOf(host: LayerHost): number {
    return layerCapacity(this.engine, host.accelerator, this.memoryShare);
  }

  /**
   * Each data centre whose hosts fit a whole model is a group. The hosts of the others form one
   * group together. Where that group would not fit a whole model, they join the first one instead.
   */
  private groupHosts(hosts: readonly LayerHost[]): readonly HostGroup[] {
    const { layerCount } = this.engine;
    const centres = new Map<DataCentreId, LayerHost[]>();
    for (const host of hosts) {
      const members = centres.get(host.dataCentre) ?? [];
      centres.set(host.dataCentre, [...members, host]);
    }
    const sets = [...centres.values()].filter((c) => this.capacity(c) >= layerCount);
    const rest = [...centres.values()].filter((c) => this.capacity(c) < layerCount).flat();
    if (this.capacity(rest) >= layerCount || sets.length === 0) sets.push(rest);
    else if (rest.length > 0) sets[0] = [...sets[0]!, ...rest];
    return sets.map((set) => groupOf(this.engine, set));
  }

  /** Number of layers that the hosts can hold together. */
  private capacity(hosts: readonly LayerHost[]): number {
    return hosts.reduce((sum, h) => sum + this.capacityOf(h), 0);
  }
}

function coverageOf(engine: Engine, hosts: readonly LayerHost[]): number[] {
  const coverage = new Array<number>(engine.layerCount).fill(0);
  for (const { layers } of hosts) if (layers) addCoverage(coverage, layers, 1);
  return coverage;
}

function groupOf(engine: Engine, hosts: readonly LayerHost[]): HostGroup {
  const largestRanges = new Array<number>(engine.layerCount).fill(0);
  const ranges = hosts.flatMap((h) => (h.layers ? [h.layers] : []));
  for (const layers of ranges) recordSize(largestRanges, layers);
  const rangeStarts = new Set(ranges.map((layers) => layers.from));
  return { hosts: [...hosts], coverage: coverageOf(engine, hosts), largestRanges, rangeStarts };
}

function recordSize(sizes: number[], layers: LayerRange): void {
  const size = layers.to - layers.from;
  for (let l = layers.from; l < layers.to; l += 1) sizes[l] = Math.max(sizes[l] ?? 0, size);
}

/** Records that a host of the group will hold `layers`. */
function recordAssignment(group: HostGroup, layers: LayerRange): void {
  addCoverage(group.coverage, layers, 1);
  recordSize(group.largestRanges, layers);
  group.rangeStarts.add(layers.from);
}

function addCoverage(coverage: number[], layers: LayerRange, change: number): void {
  for (let l = layers.from; l < layers.to; l += 1) coverage[l] = (coverage[l] ?? 0) + change;
}

/** Gives every empty host a range of layers; hosts with fast accelerators get theirs first. */
function assignEmptyHosts(plan: Plan, group: HostGroup): readonly Assignment[] {
  const empty = group.hosts.filter((h) => !h.layers && !h.busy);
  return empty.sort(bySpeed).map((host) => {
    const layers = chooseRange(plan, host, group);
    recordAssignment(group, layers);
    return { id: host.id, layers };
  });
}

/** Orders hosts by the speed of their accelerator, then by descending memory, then by id. */
function bySpeed(a: LayerHost, b: LayerHost): number {
  const [x, y] = [a.accelerator, b.accelerator];
  if (x.stepFactor !== y.stepFactor) return x.stepFactor - y.stepFactor;
  return y.memoryMb - x.memoryMb || (a.id < b.id ? -1 : 1);
}

/**
 * Moves redundant hosts to layers that no host of the group holds, first the one that can serve
 * other layers soonest.
 */
function closeGaps(plan: Plan, group: HostGroup): readonly Assignment[] {
  const moves: Assignment[] = [];
  const moved = new Set<UpstreamId>();
  while (group.coverage.includes(0)) {
    const redundant = group.hosts.filter((h) => !moved.has(h.id) && isRedundant(h, group.coverage));
    const [host] = redundant.sort((a, b) => moveMs(plan, a) - moveMs(plan, b));
    if (!host) break;
    moved.add(host.id);
    addCoverage(group.coverage, host.layers!, -1);
    const layers = chooseRange(plan, host, group);
    recordAssignment(group, layers);
    moves.push({ id: host.id, layers });
  }
  return moves;
}

/** Estimated time until a host serves other layers: it first drains, then loads them. */
function moveMs(plan: Plan, host: LayerHost): Millis {
  const loadShare = plan.capacityOf(host) / plan.engine.layerCount;
  const drainMs = host.sequences > 0 ? drainEstimateMs : 0;
  return drainMs + plan.engine.loadSeconds * 1000 * loadShare;
}

/** Whether another host holds each of the host's layers, so that it can move without a gap. */
function isRedundant(host: LayerHost, coverage: readonly number[]): boolean {
  const { layers, busy } = host;
  if (!layers || busy) return false;
  return coverage.slice(layers.from, layers.to).every((count) => count > 1);
}

/**
 * The range that a host should hold. Where layers are missing, it starts at the first missing one.
 * Otherwise it covers the layers with the fewest replicas. Those that only one host holds are
 * weighted by the largest range that includes them: the loss of the host with that range would leave
 * the widest gap. All others count alike: each request needs every layer, so the layer with the fewest
 * replicas bounds how many requests the group can hold.
 */
function chooseRange(plan: Plan, host: LayerHost, group: HostGroup): LayerRange {
  const { coverage, largestRanges, rangeStarts } = group;
  const size = plan.capacityOf(host);
  const lastStart = plan.engine.layerCount - size;
  const gap = coverage.indexOf(0);
  if (gap >= 0) return rangeOf(Math.min(gap, lastStart), size);
  const layerValue = (l: number) =>
    (1 + coverage[l]!) ** -2 * (coverage[l]! < backedCoverage ? largestRanges[l]! : 1);
  let best = { from: 0, value: -1 };
  for (let from = 0; from <= lastStart; from += 1) {
    let value = 0;
    for (let l = from; l < from + size; l += 1) {
      value += layerValue(l);
      // A host that backs up parts of two ranges cannot be moved once either range is lost.
      if (l > from && rangeStarts.has(l)) value -= straddlePenalty;
    }
    if (value > best.value + 1e-9) best = { from, value };
  }
  return rangeOf(best.from, size);
}

function rangeOf(from: number, size: number): LayerRange {
  return { from, to: from + size };
}
