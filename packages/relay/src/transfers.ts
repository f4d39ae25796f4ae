/**
 * Counts the activations of prompts that this entry's requests transfer between data centres, and
 * estimates those of all entries.
 */

import type { ServiceId } from '@tanagercart/base';
import type { ReportedTransfers } from '@tanagercart/fleet';
import type { TransferLoad } from '@tanagercart/protocol';

/** Bounds what one request counts, as callers name the tokens of their prompts. */
const maxRequestBytes = 1e11;

/** Transfers of requests whose first token has not come yet, by service. */
export class Transfers {
  private readonly totals = new Map<ServiceId, number>();

  static create(): Transfers {
    return new Transfers();
  }

  /** Counts `requestBytes` until the returned function is called; further calls of it do nothing. */
  add(service: ServiceId, requestBytes: number): () => void {
    // Sums of whole numbers in these bounds are exact, so that nothing is left over in the end.
    const bytes = Math.round(Math.min(Math.max(0, requestBytes), maxRequestBytes));
    this.apply(service, bytes);
    let counted = true;
    return () => {
      if (!counted) return;
      counted = false;
      this.apply(service, -bytes);
    };
  }

  /** Bytes of one service. */
  of(service: ServiceId): number {
    return this.totals.get(service) ?? 0;
  }

  get all(): readonly TransferLoad[] {
    return [...this.totals].map(([service, bytes]) => ({ service, bytes }));
  }

  private apply(service: ServiceId, bytes: number): void {
    const total = this.of(service) + bytes;
    if (total > 0) this.totals.set(service, total);
    else this.totals.delete(service);
  }
}

/**
 * Bytes that all entries transfer at present: those of this entry (`own`), those of the others as
 * last reported, and what `peers` of them have added since, assuming that each added as much as this
 * one. Without a report, each is assumed to transfer as much as this entry.
 */
export function estimateTransfers(
  own: number,
  reported: ReportedTransfers | undefined,
  peers: number,
): number {
  if (!reported) return own * (peers + 1);
  return own + Math.max(0, reported.others + peers * (own - reported.own));
}
