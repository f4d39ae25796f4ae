/** Processor time and memory of this process. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes in a megabyte, as memory is reported. */
const bytesPerMegabyte = 1024 * 1024;

/** Bytes on the heap of what `make` returns. */
export async function heapBytesOf(make: () => unknown): Promise<number> {
  const before = heapUsedAfterCollection();
  const result = await make();
  const after = heapUsedAfterCollection();
  // What was made must outlive the second reading.
  return result === undefined ? Number.NaN : after - before;
}

/** Processor time of `work` in microseconds. */
export async function processorTimeOf(work: () => unknown): Promise<number> {
  const began = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(began);
  return user + system;
}

/** Memory of the process in megabytes, resident and used on the heap. */
export function memoryUsage(): { readonly resident: number; readonly heap: number } {
  const heap = heapUsedAfterCollection() / bytesPerMegabyte;
  return { resident: process.memoryUsage().rss / bytesPerMegabyte, heap };
}

function heapUsedAfterCollection(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as () => void;
  // The second run frees what finalisers of the first let go.
  gc();
  gc();
}
