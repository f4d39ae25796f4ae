/** Slots of a stage: who runs now, and who waits in order of priority. */

interface Waiter {
  readonly priority: number;
  readonly start: () => void;
}

/** Hands out slots; the highest priority first, and the earliest among equals. */
export class SlotQueue {
  private usedSlots = 0;
  private readonly waiting: Waiter[] = [];

  private constructor(private readonly size: number) {}

  static create(size: number): SlotQueue {
    return new SlotQueue(size);
  }

  /** Sequences that run. */
  get runningCount(): number {
    return this.usedSlots;
  }

  /** Sequences that wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Resolves once a slot is taken. */
  async acquire(priority: number): Promise<void> {
    if (this.usedSlots < this.size) {
      this.usedSlots += 1;
      return;
    }
    await new Promise<void>((start) => {
      const at = this.waiting.findIndex((w) => w.priority < priority);
      this.waiting.splice(at < 0 ? this.waiting.length : at, 0, { priority, start });
    });
  }

  /** Gives a slot back, or passes it on to the next that waits. */
  release(): void {
    const next = this.waiting.shift();
    if (next) next.start();
    else this.usedSlots -= 1;
  }
}
