/** Steps that must not overlap: each begins once all earlier ones have ended. */

/** Runs steps in the order in which they were given. */
export class Serial {
  private last: Promise<unknown> = Promise.resolve();

  static create(): Serial {
    return new Serial();
  }

  /** Runs `step` after all earlier steps, also those that failed; resolves or rejects as it does. */
  run<T>(step: () => Promise<T>): Promise<T> {
    const run = this.last.then(step);
    this.last = run.catch(() => undefined);
    return run;
  }
}
