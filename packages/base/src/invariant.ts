/** Assertions of what must always hold. */

/** Raised when an invariant is broken; the only error that stops the process. */
export class InvariantError extends Error {}

/** Throws `BrokenInvariant` unless `holds`. */
export function invariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new InvariantError(message);
}

/** Marks a switch as exhaustive. */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected variant ${JSON.stringify(value)}`);
}
