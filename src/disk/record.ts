import {crc32} from 'node:zlib';

/**
 * Records on disk: a mark, the payload's length and checksum, the payload.
 * The checksum covers the length too, so that a flipped bit in either shows.
 */

const mark = 0xf0b0;
const headerBytes = 10;
const lengthAt = 2;
const checksumAt = 6;

/** One record found in a file. */
export interface FoundRecord {
  readonly payload: Buffer;
  /** Offset of the byte after it. */
  readonly end: number;
}

/** Encodes one record. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(headerBytes + payload.length);
  record.writeUInt16BE(mark, 0);
  record.writeUInt32BE(payload.length, lengthAt);
  record.set(payload, headerBytes);
  record.writeUInt32BE(checksum(record, 0, record.length), checksumAt);
  return record;
}

/** Reads the record at `offset`; undefined when there is no whole one. */
export function readRecord(
  content: Buffer,
  offset: number,
): FoundRecord | undefined {
  if (offset + headerBytes > content.length) return undefined;
  if (content.readUInt16BE(offset) !== mark) return undefined;
  const end = offset + headerBytes + content.readUInt32BE(offset + lengthAt);
  if (end > content.length) return undefined;
  const expected = content.readUInt32BE(offset + checksumAt);
  if (checksum(content, offset, end) !== expected) return undefined;
  return {payload: content.subarray(offset + headerBytes, end), end};
}

/** Finds whole records anywhere after `offset`, past damaged bytes. */
export function* searchRecords(
  content: Buffer,
  offset: number,
): Generator<FoundRecord> {
  let at = offset;
  while (at + headerBytes <= content.length) {
    const found = readRecord(content, at);
    if (found !== undefined) yield found;
    at = found?.end ?? at + 1;
  }
}

function checksum(content: Buffer, start: number, end: number): number {
  const length = content.subarray(start + lengthAt, start + checksumAt);
  const payload = content.subarray(start + headerBytes, end);
  return crc32(payload, crc32(length));
}
