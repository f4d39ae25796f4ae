/** Random numbers, as an interface so that tests can use a seeded generator. */

/** A source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** The random numbers of the JavaScript engine. */
export const systemRandom: Random = { next: () => Math.random() };

/** Returns the values in random order. */
export function shuffle<T>(values: readonly T[], random: Random): readonly T[] {
  const keyed = values.map((value) => ({ value, key: random.next() }));
  return keyed.sort((a, b) => a.key - b.key).map(({ value }) => value);
}

/** A seeded generator (mulberry32); equal seeds give equal sequences. */
export class SeededRandom implements Random {
  private constructor(private state: number) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(Math.trunc(seed) % 2 ** 32);
  }

  next(): number {
    this.state = (this.state + 0x6d2b79f5) % 2 ** 32;
    let t = this.state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  }
}
