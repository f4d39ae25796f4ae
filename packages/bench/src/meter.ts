/** Measures the processor time and memory of this process. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Factor from bytes to the megabytes in which memory is reported. */
const bytesPerMegabyte = 1024 * 1024;

/** Size on the heap of what `make` returns, in bytes; NaN if it returns undefined. */
export async function heapBytesOf(make: () => unknown): Promise<number> {
  const before = heapUsedAfterCollection();
  const result = await make();
  const after = heapUsedAfterCollection();
  // The use of `result` below keeps it from being collected before the second reading.
  return result === undefined ? Number.NaN : after - before;
}

/** Processor time, user and system, that this process uses during `work`, in microseconds. */
export async function processorTimeOf(work: () => unknown): Promise<number> {
  const began = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(began);
  return user + system;
}

/** Memory of the process after garbage collection, in megabytes: resident, and used heap. */
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
  // The second collection frees what the finalisers of the first one have released.
  gc();
  gc();
}
