/**
 * Bounds the bytes that a process holds for attempts in progress, over all of them: responses that
 * are held until they are complete, incomplete events, and replies to orders and reports. Protects
 * the other requests from upstreams that send without end.
 */

import type { UpstreamId } from '@tanagercart/base';

/** Bytes that all attempts together may hold; far more than sound answers need at a time. */
export const maxHeldBytes = 32 * 1024 * 1024;

/** The bytes that one attempt holds. */
export class Holding {
  private bytes = 0;

  private constructor(
    readonly source: UpstreamId,
    /** Lets the attempt drop what it holds. */
    readonly giveWay: () => void,
    private readonly onChange: (by: number) => void,
  ) {}

  static create(source: UpstreamId, giveWay: () => void, onChange: (by: number) => void): Holding {
    return new Holding(source, giveWay, onChange);
  }

  /** Number of bytes that the attempt holds. */
  get held(): number {
    return this.bytes;
  }

  /** Records how many bytes the attempt holds from now on. */
  record(bytes: number): void {
    const by = bytes - this.bytes;
    this.bytes = bytes;
    this.onChange(by);
  }
}

/** The bytes that all attempts hold. */
export class Intake {
  private readonly holdings = new Set<Holding>();
  private total = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number = maxHeldBytes): Intake {
    return new Intake(maxBytes);
  }

  /** Number of bytes that are held. */
  get held(): number {
    return this.total;
  }

  /**
   * Opens the holding of an attempt at the upstream `source`. `giveWay` is called at most once: when
   * the attempt has to drop what it holds, which does not count from then on.
   */
  open(source: UpstreamId, giveWay: () => void): Holding {
    const holding = Holding.create(source, giveWay, (by) => {
      if (!this.holdings.has(holding)) return;
      this.total += by;
      if (by > 0) this.makeRoom();
    });
    this.holdings.add(holding);
    return holding;
  }

  /** Closes a holding; its attempt holds nothing any more. */
  close(holding: Holding): void {
    if (this.holdings.delete(holding)) this.total -= holding.held;
  }

  private makeRoom(): void {
    while (this.total > this.maxBytes) {
      const largest = largestHolding([...this.holdings]);
      if (!largest) return;
      this.close(largest);
      largest.giveWay();
    }
  }
}

/**
 * The largest holding of the upstream whose attempts hold the most together. An upstream that sends
 * without end has many such attempts in progress; a sound one sends its largest answer once.
 */
export function largestHolding(holdings: readonly Holding[]): Holding | undefined {
  const totals = new Map<UpstreamId, number>();
  for (const { source, held } of holdings) totals.set(source, (totals.get(source) ?? 0) + held);
  const bySize = (a: Holding, b: Holding) =>
    totals.get(b.source)! - totals.get(a.source)! || b.held - a.held;
  return [...holdings].sort(bySize)[0];
}
