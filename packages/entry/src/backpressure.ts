/**
 * Waits for slow readers. Bounds the time for which a caller that does not read its answer holds
 * memory here and slots at upstreams.
 */

import type { ServerResponse } from 'node:http';
import type { Clock, Millis } from '@tanagercart/base';

/**
 * Resolves with true once the response can take more data or its connection has closed, and with
 * false if neither happens within `ms`.
 */
export async function hasDrained(res: ServerResponse, clock: Clock, ms: Millis): Promise<boolean> {
  if (!res.writableNeedDrain || res.destroyed) return true;
  return hasOccurred(res, 'drain', clock, ms);
}

/**
 * Resolves with true once the whole answer was handed to the operating system or the connection has
 * closed, and with false if neither happens within `ms`.
 */
export async function hasFinished(res: ServerResponse, clock: Clock, ms: Millis): Promise<boolean> {
  if (res.writableFinished || res.destroyed) return true;
  return hasOccurred(res, 'finish', clock, ms);
}

async function hasOccurred(
  res: ServerResponse,
  event: 'drain' | 'finish',
  clock: Clock,
  ms: Millis,
): Promise<boolean> {
  const stop = new AbortController();
  const timeout = clock.sleep(ms, stop.signal).then(() => false);
  let onEvent = () => {};
  const inTime = new Promise<boolean>((resolve) => {
    onEvent = () => resolve(true);
    res.on(event, onEvent);
    res.on('close', onEvent);
  });
  const result = await Promise.race([inTime, timeout]);
  stop.abort();
  res.off(event, onEvent);
  res.off('close', onEvent);
  return result;
}
