/** Helpers for the tests of all packages. */

import type { Millis } from '../src/index.js';

/** Keeps the event loop from running for `ms`. */
export function holdUp(ms: Millis): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
