/** What a stand-in stage holds, and the orders that change it. */

import type { FakeWeightStore } from './store.js';

/** An order to load or unload a part of the model. */
export interface PlacementOrder {
  readonly fence: number;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly part: { readonly kind: 'version' | 'adapter'; readonly name: string };
}

/** How a stage takes orders. */
export interface PlacementOptions {
  readonly store: FakeWeightStore;
  /** Whether it refuses an order with a lower fencing number than it has seen. */
  readonly checksFencing: boolean;
}

/** The versions and adapters of one stage. */
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

  /** What the stage tells when it is read back. */
  get state() {
    return { versions: this.versions, adapters: this.adapters, busy: this.loadsInProgress > 0 };
  }

  /** Begins an order; why not, if it is refused. */
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
