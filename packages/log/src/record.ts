/** Records of a file: a checked header with the length, a checked body, and an end mark. */

import { crc32 } from 'node:zlib';

/** Version of the format of every file. */
export const formatVersion = 1;

/** Length of a file's header, in bytes: magic, version, checksum. */
export const fileHeaderBytes = 12;

const magic = 0x54_43_4c_47;
const recordHeaderBytes = 12;
const endMark = 0xa5;

/** What stands at one place of a file. */
export type ReadRecord =
  | { readonly kind: 'record'; readonly body: Uint8Array; readonly next: number }
  | { readonly kind: 'end' }
  /** The last write was interrupted: nothing from here on was acknowledged. */
  | { readonly kind: 'torn' }
  | { readonly kind: 'damaged'; readonly detail: string };

/** The header of a new file. */
export function fileHeader(): Buffer {
  const header = Buffer.alloc(fileHeaderBytes);
  header.writeUInt32BE(magic, 0);
  header.writeUInt32BE(formatVersion, 4);
  header.writeUInt32BE(crc32(header.subarray(0, 8)), 8);
  return header;
}

/** Checks a file's header; `next` is where its first record starts. */
export function readFileHeader(file: Uint8Array): ReadRecord {
  const header = Buffer.from(file.subarray(0, fileHeaderBytes));
  if (header.length < fileHeaderBytes || isZero(file)) return { kind: 'torn' };
  if (crc32(header.subarray(0, 8)) !== header.readUInt32BE(8)) {
    return { kind: 'damaged', detail: 'checksum of the file header' };
  }
  if (header.readUInt32BE(0) !== magic) return { kind: 'damaged', detail: 'not a file of the log' };
  const version = header.readUInt32BE(4);
  if (version !== formatVersion) {
    return { kind: 'damaged', detail: `format version ${version}, expected ${formatVersion}` };
  }
  return { kind: 'record', body: header, next: fileHeaderBytes };
}

/** Encodes one record. */
export function encodeRecord(body: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(recordHeaderBytes + body.length + 1);
  record.writeUInt32BE(body.length, 0);
  record.writeUInt32BE(crc32(body), 4);
  record.writeUInt32BE(crc32(record.subarray(0, 8)), 8);
  record.set(body, recordHeaderBytes);
  record[record.length - 1] = endMark;
  return record;
}

/** Reads the record at `offset`, telling an interrupted write from damage. */
export function readRecord(file: Uint8Array, offset: number): ReadRecord {
  if (offset === file.length) return { kind: 'end' };
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
  if (offset + recordHeaderBytes > bytes.length || isZero(bytes.subarray(offset))) {
    return { kind: 'torn' };
  }
  const header = bytes.subarray(offset, offset + recordHeaderBytes);
  if (crc32(header.subarray(0, 8)) !== header.readUInt32BE(8)) {
    return { kind: 'damaged', detail: 'checksum of a record header' };
  }
  const start = offset + recordHeaderBytes;
  const end = start + header.readUInt32BE(0);
  if (end + 1 > bytes.length) return { kind: 'torn' };
  const body = bytes.subarray(start, end);
  const whole = crc32(body) === header.readUInt32BE(4);
  if (whole && bytes[end] === endMark) return { kind: 'record', body, next: end + 1 };
  // A file that grew before its bytes arrived ends in zeros, which no whole record does.
  if (!whole && end + 1 === bytes.length && bytes[end] === 0) return { kind: 'torn' };
  return { kind: 'damaged', detail: 'checksum of a record' };
}

function isZero(bytes: Uint8Array): boolean {
  return bytes.every((b) => b === 0);
}
