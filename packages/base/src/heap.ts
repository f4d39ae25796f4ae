/** A binary heap. */

/** Whether `a` comes before `b`. */
export type LessThan<T> = (a: T, b: T) => boolean;

/** A priority queue: the first element by `before` comes out first. */
export class Heap<T> {
  private readonly items: T[] = [];

  private constructor(private readonly before: LessThan<T>) {}

  static create<T>(before: LessThan<T>): Heap<T> {
    return new Heap(before);
  }

  get size(): number {
    return this.items.length;
  }

  /** The first element, left in place. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Adds an element. */
  push(item: T): void {
    const { items } = this;
    let at = items.length;
    items.push(item);
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.before(item, items[parent]!)) {
        break;
      }
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = item;
  }

  /** Takes out the first element. */
  pop(): T | undefined {
    const [first] = this.items;
    const last = this.items.pop();
    if (this.items.length > 0) {
      this.sink(last!);
    }
    return first;
  }

  private sink(item: T): void {
    const { items } = this;
    let at = 0;
    for (;;) {
      const child = this.firstChild(at);
      if (child === undefined || !this.before(items[child]!, item)) {
        break;
      }
      items[at] = items[child]!;
      at = child;
    }
    items[at] = item;
  }

  private firstChild(at: number): number | undefined {
    const left = at * 2 + 1;
    const right = left + 1;
    if (left >= this.items.length) {
      return undefined;
    }
    const useRight =
      right < this.items.length && this.before(this.items[right]!, this.items[left]!);
    return useRight ? right : left;
  }
}
