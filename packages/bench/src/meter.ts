/** Processor time and memory of this process. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes in a megabyte, as memory is reported. */
const megabyte = 1024 * 1024;

/** Bytes on the heap of what `make` returns. */
export async function heapBytesOf(make: () => unknown): Promise<number> {
  const before = usedHeap();
  const kept = await make();
  const after = usedHeap();
  // What was made must outlive the second reading.
  return kept === undefined ? Number.NaN : after - before;
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
  const heap = usedHeap() / megabyte;
  return { resident: process.memoryUsage().rss / megabyte, heap };
}

function usedHeap(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

function collect(): void {
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as () => void;
  // The second run frees what finalisers of the first let go.
  gc();
  gc();
}
