/**
 * Format of the files: a file header, then records. A record is a header with the length and
 * checksums, the body, and an end marker. All numbers are big-endian.
 */

import { crc32 } from 'node:zlib';

/** Version of the file format. */
export const formatVersion = 1;

/** Length of the file header in bytes: magic number, version and checksum. */
export const fileHeaderBytes = 12;

/** Magic number at the start of each file: "TCLG" in ASCII. */
const magic = 0x54_43_4c_47;
/** Length of a record header in bytes: length and checksum of the body, checksum of both. */
const recordHeaderBytes = 12;
/** Last byte of each record; not 0, so that a record is told apart from a tail of zeros. */
const endMarker = 0xa5;

/** What was read at one offset of a file; `next` is the offset of the following record. */
export type ReadOutcome =
  | { readonly kind: 'record'; readonly body: Uint8Array; readonly next: number }
  | { readonly kind: 'end' }
  /** A write was interrupted here; nothing from this offset on was acknowledged. */
  | { readonly kind: 'torn' }
  | { readonly kind: 'damaged'; readonly detail: string };

/** Encodes the file header. */
export function fileHeader(): Buffer {
  const header = Buffer.alloc(fileHeaderBytes);
  header.writeUInt32BE(magic, 0);
  header.writeUInt32BE(formatVersion, 4);
  header.writeUInt32BE(crc32(header.subarray(0, 8)), 8);
  return header;
}

/** Reads and checks the file header; `next` is the offset of the first record. */
export function readFileHeader(file: Uint8Array): ReadOutcome {
  const header = Buffer.from(file.subarray(0, fileHeaderBytes));
  if (header.length < fileHeaderBytes || isZero(file)) return { kind: 'torn' };
  if (crc32(header.subarray(0, 8)) !== header.readUInt32BE(8)) {
    return { kind: 'damaged', detail: 'checksum mismatch in the file header' };
  }
  if (header.readUInt32BE(0) !== magic) return { kind: 'damaged', detail: 'wrong magic number' };
  const version = header.readUInt32BE(4);
  if (version !== formatVersion) {
    return { kind: 'damaged', detail: `format version ${version}, expected ${formatVersion}` };
  }
  return { kind: 'record', body: header, next: fileHeaderBytes };
}

/** Encodes a record with this body. */
export function encodeRecord(body: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(recordHeaderBytes + body.length + 1);
  record.writeUInt32BE(body.length, 0);
  record.writeUInt32BE(crc32(body), 4);
  record.writeUInt32BE(crc32(record.subarray(0, 8)), 8);
  record.set(body, recordHeaderBytes);
  record[record.length - 1] = endMarker;
  return record;
}

/** Reads the record at `offset` and distinguishes an interrupted write from damage. */
export function readRecord(file: Uint8Array, offset: number): ReadOutcome {
  if (offset === file.length) return { kind: 'end' };
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
  if (offset + recordHeaderBytes > bytes.length || isZero(bytes.subarray(offset))) {
    return { kind: 'torn' };
  }
  const header = bytes.subarray(offset, offset + recordHeaderBytes);
  if (crc32(header.subarray(0, 8)) !== header.readUInt32BE(8)) {
    return { kind: 'damaged', detail: 'checksum mismatch in a record header' };
  }
  const start = offset + recordHeaderBytes;
  const end = start + header.readUInt32BE(0);
  if (end + 1 > bytes.length) return { kind: 'torn' };
  const body = bytes.subarray(start, end);
  const checksumMatches = crc32(body) === header.readUInt32BE(4);
  if (checksumMatches && bytes[end] === endMarker) return { kind: 'record', body, next: end + 1 };
  // A file that was extended before its data was written ends in zeros; a whole record never does.
  if (!checksumMatches && end + 1 === bytes.length && bytes[end] === 0) return { kind: 'torn' };
  return { kind: 'damaged', detail: 'checksum mismatch in a record' };
}

function isZero(bytes: Uint8Array): boolean {
  return bytes.every((b) => b === 0);
}
