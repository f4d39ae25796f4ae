/** A binary heap, used as a priority queue. */

/** Reports whether `a` comes before `b`. */
export type LessThan<T> = (a: T, b: T) => boolean;

/** A priority queue: `pop` removes the least element by `lessThan`. */
export class Heap<T> {
  private readonly items: T[] = [];

  private constructor(private readonly lessThan: LessThan<T>) {}

  static create<T>(lessThan: LessThan<T>): Heap<T> {
    return new Heap(lessThan);
  }

  get size(): number {
    return this.items.length;
  }

  /** Returns the least element without removing it; undefined where the heap is empty. */
  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    const { items } = this;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.lessThan(item, items[parent]!)) {
        break;
      }
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  /** Removes and returns the least element; undefined where the heap is empty. */
  pop(): T | undefined {
    const [first] = this.items;
    const last = this.items.pop();
    if (this.items.length > 0) {
      this.siftDown(last!);
    }
    return first;
  }

  /** Moves `item` down from the root to its place. */
  private siftDown(item: T): void {
    const { items } = this;
    let index = 0;
    for (;;) {
      const child = this.leastChild(index);
      if (child === undefined || !this.lessThan(items[child]!, item)) {
        break;
      }
      items[index] = items[child]!;
      index = child;
    }
    items[index] = item;
  }

  /** The index of the lesser child of the element at `index`; undefined where it has none. */
  private leastChild(index: number): number | undefined {
    const left = index * 2 + 1;
    const right = left + 1;
    if (left >= this.items.length) {
      return undefined;
    }
    const useRight =
      right < this.items.length && this.lessThan(this.items[right]!, this.items[left]!);
    return useRight ? right : left;
  }
}
