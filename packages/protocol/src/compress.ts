/**
 * Documents on their way to entries, compressed: many routes are much alike, and a leader sends them
 * to every entry at the same time.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { DocumentUpdate } from './fleetmessage.js';
import { decode, encode } from './frame.js';

/** Little effort: the largest documents take a few milliseconds, once for each change. */
const compressionLevel = 1;

/** An update as it is sent. */
export function compressDocument(update: DocumentUpdate): Uint8Array {
  // eslint-disable-next-line n/no-sync
  return deflateRawSync(encode(update), { level: compressionLevel });
}

/** The update that was packed; throws on bytes that are none. */
export function decompressDocument(bytes: Uint8Array): DocumentUpdate {
  // eslint-disable-next-line n/no-sync
  return decode<DocumentUpdate>(inflateRawSync(bytes));
}
