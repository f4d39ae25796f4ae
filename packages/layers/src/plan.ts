/**
 * Decides which layers each upstream holds. Answers two loads: a start from nothing, where whole
 * chains near callers are wanted before the first request, and the loss, arrival or departure of
 * upstreams, where the layers that are held least come first and whatever serves stays in place.
 */

import type { DataCentreId, Millis, UpstreamId } from '@tanagercart/base';
import type { Accelerator, Engine } from '@tanagercart/config';
import type { LayerRange } from './stage.js';

/** An upstream that may hold layers. */
export interface LayerHost {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  readonly accelerator: Accelerator;
  /** What it holds, or is loading; undefined where it is empty. */
  readonly layers: LayerRange | undefined;
  /** An order is in progress: it takes no other. */
  readonly busy: boolean;
  /** Requests in progress that pass through it: layers are given up once they have ended. */
  readonly sequences: number;
}

/** Layers that an upstream is to hold from now on. */
export interface Assignment {
  readonly id: UpstreamId;
  readonly layers: LayerRange;
}

/** Shares of the memory that layers may take, the first that suffices; the rest holds requests. */
const layerShares = [0.75, 0.8, 0.93] as const;

/** Decides between windows of equal worth. */
const straddleCost = 1e-3;

/** Time for requests in progress to end. */
const drainingMs: Millis = 3000;

/** Holders whose layers back one another, near to each other where they suffice. */
interface Group {
  readonly holders: LayerHost[];
  readonly coverage: number[];
  /** Size of the largest range that holds each layer: what is lost with its holder. */
  readonly sizes: number[];
  /** Where ranges begin. */
  readonly starts: Set<number>;
}

/** Layers that an upstream may hold when they take at most `share` of its memory. */
export function layerCapacity(engine: Engine, accelerator: Accelerator, share: number): number {
  const most = Math.floor((accelerator.memoryMb * share) / engine.layerMb);
  return Math.min(engine.layerCount, most);
}

/** Orders that bring the present layers nearer to the wanted ones; none where all is well. */
export function planLayers(engine: Engine, holders: readonly LayerHost[]): readonly Assignment[] {
  const plan = Plan.create(engine, holders);
  return plan.groups.flatMap((group) => [...fill(plan, group), ...mend(plan, group)]);
}

/** What is planned for: the holders, and how much of each may be taken. */
class Plan {
  readonly groups: readonly Group[];

  private constructor(
    readonly engine: Engine,
    holders: readonly LayerHost[],
    private readonly share: number,
  ) {
    const usable = holders.filter((h) => this.capacityOf(h) > 0);
    this.groups = this.groupsOf(usable);
  }

  /** Takes the smallest share of memory with which all holders make a whole chain. */
  static create(engine: Engine, holders: readonly LayerHost[]): Plan {
    const suffices = (share: number) =>
      holders.reduce((sum, h) => sum + layerCapacity(engine, h.accelerator, share), 0) >=
      engine.layerCount;
    return new Plan(engine, holders, layerShares.find(suffices) ?? layerShares[0]);
  }

  capacityOf(holder: LayerHost): number {
    return layerCapacity(this.engine, holder.accelerator, this.share);
  }

  /** Data centres that hold a whole chain stand alone; the others make one group. */
  private groupsOf(holders: readonly LayerHost[]): readonly Group[] {
    const { layerCount } = this.engine;
    const centres = new Map<DataCentreId, LayerHost[]>();
    for (const holder of holders) {
      const known = centres.get(holder.dataCentre) ?? [];
      centres.set(holder.dataCentre, [...known, holder]);
    }
    const sets = [...centres.values()].filter((c) => this.total(c) >= layerCount);
    const parts = [...centres.values()].filter((c) => this.total(c) < layerCount).flat();
    if (this.total(parts) >= layerCount || sets.length === 0) sets.push(parts);
    else if (parts.length > 0) sets[0] = [...sets[0]!, ...parts];
    return sets.map((set) => groupOf(this.engine, set));
  }

  private total(holders: readonly LayerHost[]): number {
    return holders.reduce((sum, h) => sum + this.capacityOf(h), 0);
  }
}

function coverageOf(engine: Engine, holders: readonly LayerHost[]): number[] {
  const coverage = new Array<number>(engine.layerCount).fill(0);
  for (const { layers } of holders) if (layers) cover(coverage, layers, 1);
  return coverage;
}

function groupOf(engine: Engine, holders: readonly LayerHost[]): Group {
  const sizes = new Array<number>(engine.layerCount).fill(0);
  const held = holders.flatMap((h) => (h.layers ? [h.layers] : []));
  for (const layers of held) widen(sizes, layers);
  const starts = new Set(held.map((layers) => layers.from));
  return { holders: [...holders], coverage: coverageOf(engine, holders), sizes, starts };
}

function widen(sizes: number[], layers: LayerRange): void {
  const size = layers.to - layers.from;
  for (let l = layers.from; l < layers.to; l += 1) sizes[l] = Math.max(sizes[l] ?? 0, size);
}

/** Takes note of what a holder is to hold. */
function assign(group: Group, layers: LayerRange): void {
  cover(group.coverage, layers, 1);
  widen(group.sizes, layers);
  group.starts.add(layers.from);
}

function cover(coverage: number[], layers: LayerRange, by: number): void {
  for (let l = layers.from; l < layers.to; l += 1) coverage[l] = (coverage[l] ?? 0) + by;
}

/** Gives every empty holder the layers that its group holds least; fast accelerators come first. */
function fill(plan: Plan, group: Group): readonly Assignment[] {
  const empty = group.holders.filter((h) => !h.layers && !h.busy);
  return empty.sort(byPreference).map((holder) => {
    const layers = windowFor(plan, holder, group);
    assign(group, layers);
    return { id: holder.id, layers };
  });
}

function byPreference(a: LayerHost, b: LayerHost): number {
  const [x, y] = [a.accelerator, b.accelerator];
  if (x.stepFactor !== y.stepFactor) return x.stepFactor - y.stepFactor;
  return y.memoryMb - x.memoryMb || (a.id < b.id ? -1 : 1);
}

/** Moves holders that others back whole to layers that nobody of the group holds. */
function mend(plan: Plan, group: Group): readonly Assignment[] {
  const moves: Assignment[] = [];
  const moved = new Set<UpstreamId>();
  while (group.coverage.includes(0)) {
    const spares = group.holders.filter((h) => !moved.has(h.id) && isSpare(h, group.coverage));
    const [spare] = spares.sort((a, b) => moveMs(plan, a) - moveMs(plan, b));
    if (!spare) break;
    moved.add(spare.id);
    cover(group.coverage, spare.layers!, -1);
    const layers = windowFor(plan, spare, group);
    assign(group, layers);
    moves.push({ id: spare.id, layers });
  }
  return moves;
}

/** Time until a holder serves other layers: it drains, and then loads. */
function moveMs(plan: Plan, holder: LayerHost): Millis {
  const share = plan.capacityOf(holder) / plan.engine.layerCount;
  const drainMs = holder.sequences > 0 ? drainingMs : 0;
  return drainMs + plan.engine.loadSeconds * 1000 * share;
}

function isSpare(holder: LayerHost, coverage: readonly number[]): boolean {
  const { layers, busy } = holder;
  if (!layers || busy) return false;
  return coverage.slice(layers.from, layers.to).every((count) => count > 1);
}

/**
 * The window of a holder: from the first hole on, or else where the least is held, before all
 * where a large range has no other holder, as its loss leaves the widest hole.
 */
function windowFor(plan: Plan, holder: LayerHost, group: Group): LayerRange {
  const { coverage, sizes, starts } = group;
  const size = plan.capacityOf(holder);
  const last = plan.engine.layerCount - size;
  const hole = coverage.indexOf(0);
  if (hole >= 0) return range(Math.min(hole, last), size);
  const worthOf = (l: number) => (1 + coverage[l]!) ** -2 * sizes[l]!;
  let best = { from: 0, worth: -1 };
  for (let from = 0; from <= last; from += 1) {
    let worth = 0;
    for (let l = from; l < from + size; l += 1) {
      worth += worthOf(l);
      // A holder that backs parts of two ranges cannot leave once either of them is lost.
      if (l > from && starts.has(l)) worth -= straddleCost;
    }
    if (worth > best.worth + 1e-9) best = { from, worth };
  }
  return range(best.from, size);
}

function range(from: number, size: number): LayerRange {
  return { from, to: from + size };
}
