/** The part of the room of a service that one entry may use. */

/** What an entry knows of the demand for a service. */
export interface KnownDemand {
  /** Tokens per second that this entry is asked for. */
  readonly own: number;
  /** The same for the other entries; undefined if it is not known. */
  readonly peers: number | undefined;
  /** Entries that take requests, with this one. */
  readonly entries: number;
  /** Those of them that report their demand. */
  readonly reporters: number;
  /** Whether this entry started so lately that its own rate tells little. */
  readonly isNew: boolean;
}

/** Part of the room for this entry, between 0 and 1: its part of the demand, else an even one. */
export function demandPartOf({ own, peers, entries, reporters, isNew }: KnownDemand): number {
  const even = 1 / Math.max(1, entries);
  if (peers === undefined || own + peers <= 0) return even;
  // Entries that do not report have an even part of their own.
  const reported = Math.min(1, reporters / Math.max(1, entries));
  const part = (own / (own + peers)) * reported;
  return isNew ? Math.max(part, even) : part;
}
