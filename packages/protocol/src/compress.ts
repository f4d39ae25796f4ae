/**
 * Compression of documents and of the whole state for entries. It limits the traffic of the leader,
 * which sends a changed document to every entry at the same time, and the whole state to all that
 * start together; both compress well since many routes and records are alike.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { DocumentUpdate, WholeState } from './fleetmessage.js';
import { decode, encode } from './frame.js';

/**
 * The fastest compression level: the leader compresses synchronously, and the largest documents
 * then take a few milliseconds, once for each change.
 */
const compressionLevel = 1;

/** Encodes and compresses an update. */
export function compressDocument(update: DocumentUpdate): Uint8Array {
  return compress(update);
}

/** Decompresses and decodes an update; throws on malformed input. */
export function decompressDocument(bytes: Uint8Array): DocumentUpdate {
  return decompress<DocumentUpdate>(bytes);
}

/** Encodes and compresses the whole state of the fleet. */
export function compressState(state: WholeState): Uint8Array {
  return compress(state);
}

/** Decompresses and decodes the whole state of the fleet; throws on malformed input. */
export function decompressState(bytes: Uint8Array): WholeState {
  return decompress<WholeState>(bytes);
}

function compress(value: unknown): Uint8Array {
  // eslint-disable-next-line n/no-sync
  return deflateRawSync(encode(value), { level: compressionLevel });
}

function decompress<T>(bytes: Uint8Array): T {
  // eslint-disable-next-line n/no-sync
  return decode<T>(inflateRawSync(bytes));
}
