/** Waits for callers that read slowly. */

import type { ServerResponse } from 'node:http';
import type { Clock, Millis } from '@tanagercart/base';

/** Resolves with whether the caller has room for more within `ms`, or has gone. */
export async function hasRoom(res: ServerResponse, clock: Clock, ms: Millis): Promise<boolean> {
  if (!res.writableNeedDrain || res.destroyed) return true;
  return happens(res, 'drain', clock, ms);
}

/** Resolves with whether the caller has taken the whole answer within `ms`, or has gone. */
export async function hasTaken(res: ServerResponse, clock: Clock, ms: Millis): Promise<boolean> {
  if (res.writableFinished || res.destroyed) return true;
  return happens(res, 'finish', clock, ms);
}

async function happens(
  res: ServerResponse,
  event: 'drain' | 'finish',
  clock: Clock,
  ms: Millis,
): Promise<boolean> {
  const stop = new AbortController();
  const late = clock.sleep(ms, stop.signal).then(() => false);
  let go = () => {};
  const inTime = new Promise<boolean>((resolve) => {
    go = () => resolve(true);
    res.on(event, go);
    res.on('close', go);
  });
  const result = await Promise.race([inTime, late]);
  stop.abort();
  res.off(event, go);
  res.off('close', go);
  return result;
}
