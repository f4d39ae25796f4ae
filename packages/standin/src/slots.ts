/** Limits how many sequences a stage runs at once; the rest wait in order of priority. */

interface Waiter {
  readonly priority: number;
  readonly start: () => void;
}

/** A semaphore that grants slots to the highest priority first, and FIFO among equals. */
export class SlotQueue {
  private usedSlots = 0;
  private readonly waiting: Waiter[] = [];

  private constructor(private readonly size: number) {}

  static create(size: number): SlotQueue {
    return new SlotQueue(size);
  }

  /** Number of sequences that hold a slot. */
  get runningCount(): number {
    return this.usedSlots;
  }

  /** Number of sequences that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Waits for a slot and takes it. */
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

  /** Returns a slot, or hands it to the next waiter. */
  release(): void {
    const next = this.waiting.shift();
    if (next) next.start();
    else this.usedSlots -= 1;
  }
}
