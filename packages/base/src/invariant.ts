/** Assertions of invariants. */

/** Thrown when an invariant does not hold. It is the only error that stops the process. */
export class InvariantError extends Error {}

/** Throws an `InvariantError` unless `condition` holds. */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/** Marks a switch as exhaustive for the compiler; throws an `InvariantError` if it is reached. */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected variant ${JSON.stringify(value)}`);
}
