/** Weighted fair shares: a max-min division of room between those that want some of it. */

/** What one account wants. */
export interface Want {
  readonly amount: number;
  readonly weight: number;
}

/**
 * The share of an account of weight 1, so that the room is used up where each account gets its
 * weighted share or, if that is less, what it wants. Infinite where there is room for all of them.
 */
export function fairLevel(wants: readonly Want[], room: number): number {
  const ordered = [...wants].sort((a, b) => a.amount / a.weight - b.amount / b.weight);
  let left = Math.max(0, room);
  let weights = ordered.reduce((n, w) => n + w.weight, 0);
  for (const { amount, weight } of ordered) {
    const level = left / weights;
    if (amount / weight > level) return level;
    left -= amount;
    weights -= weight;
  }
  return Infinity;
}
