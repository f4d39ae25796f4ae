/**
 * Compression of documents for entries. It limits the traffic of the leader, which sends a changed
 * document to every entry at the same time; documents compress well since many routes are alike.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { DocumentUpdate } from './fleetmessage.js';
import { decode, encode } from './frame.js';

/**
 * The fastest compression level: the leader compresses synchronously, and the largest documents
 * then take a few milliseconds, once for each change.
 */
const compressionLevel = 1;

/** Encodes and compresses an update. */
export function compressDocument(update: DocumentUpdate): Uint8Array {
  // eslint-disable-next-line n/no-sync
  return deflateRawSync(encode(update), { level: compressionLevel });
}

/** Decompresses and decodes an update; throws on malformed input. */
export function decompressDocument(bytes: Uint8Array): DocumentUpdate {
  // eslint-disable-next-line n/no-sync
  return decode<DocumentUpdate>(inflateRawSync(bytes));
}
