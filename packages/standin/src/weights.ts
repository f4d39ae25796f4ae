/** The weights that a stand-in stage has loaded, and the placement orders that change them. */

import type { FakeWeightStore } from './store.js';

/** A placement order: load or unload one version or adapter. `fence` is a fencing token. */
export interface PlacementOrder {
  readonly fence: number;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly part: { readonly kind: 'version' | 'adapter'; readonly name: string };
}

/** How a stage handles placement orders. */
export interface PlacementOptions {
  readonly store: FakeWeightStore;
  /** Whether the stage rejects an order with a lower fencing token than it has seen. */
  readonly checksFencing: boolean;
}

/** The versions and adapters that one stage has loaded. */
export class LoadedWeights {
  readonly versions: string[];
  readonly adapters: string[];
  private highestFence = 0;
  private loadsInProgress = 0;

  private constructor(
    private readonly model: string,
    versions: readonly string[],
    adapters: readonly string[],
    private readonly options: PlacementOptions | undefined,
  ) {
    this.versions = [...versions];
    this.adapters = [...adapters];
  }

  static create(
    stage: {
      readonly model: string;
      readonly versions: readonly string[];
      readonly adapters: readonly string[];
    },
    options?: PlacementOptions,
  ): LoadedWeights {
    return new LoadedWeights(stage.model, stage.versions, stage.adapters, options);
  }

  /** The state that the stage reports; `busy` while a load is in progress. */
  get state() {
    return { versions: this.versions, adapters: this.adapters, busy: this.loadsInProgress > 0 };
  }

  /** Starts to apply an order. Returns the reason if the stage rejects it. */
  acceptOrder(order: PlacementOrder): string | undefined {
    const { options } = this;
    if (!options) return 'this stage takes no orders';
    if (order.model !== this.model) return `this stage holds ${this.model}`;
    if (options.checksFencing && order.fence < this.highestFence) return 'old fencing number';
    this.highestFence = Math.max(this.highestFence, order.fence);
    void this.applyOrder(order, options.store);
    return undefined;
  }

  private async applyOrder(
    { action, part }: PlacementOrder,
    store: FakeWeightStore,
  ): Promise<void> {
    const list = part.kind === 'version' ? this.versions : this.adapters;
    if (action === 'unload') {
      if (list.includes(part.name)) list.splice(list.indexOf(part.name), 1);
      return;
    }
    this.loadsInProgress += 1;
    await store.load();
    this.loadsInProgress -= 1;
    if (!list.includes(part.name)) list.push(part.name);
  }
}
