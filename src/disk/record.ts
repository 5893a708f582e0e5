import {crc32} from 'node:zlib';

/**
 * Records on disk: a magic number, the payload's length and checksum, and the
 * payload. The checksum covers length and payload, so that a flipped bit in
 * either is detected.
 */

const magic = 0xf0b0;
const headerBytes = 10;
const lengthAt = 2;
const checksumAt = 6;

/** One record found in a file. */
export interface FoundRecord {
  readonly payload: Buffer;
  /** Offset of the first byte after the record. */
  readonly end: number;
}

/** Encodes one record. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(headerBytes + payload.length);
  record.writeUInt16BE(magic, 0);
  record.writeUInt32BE(payload.length, lengthAt);
  record.set(payload, headerBytes);
  record.writeUInt32BE(checksum(record, 0, record.length), checksumAt);
  return record;
}

/** Reads the record at `offset`; undefined when it is incomplete or damaged. */
export function readRecord(
  content: Buffer,
  offset: number,
): FoundRecord | undefined {
  if (offset + headerBytes > content.length) return undefined;
  if (content.readUInt16BE(offset) !== magic) return undefined;
  const end = offset + headerBytes + content.readUInt32BE(offset + lengthAt);
  if (end > content.length) return undefined;
  const expected = content.readUInt32BE(offset + checksumAt);
  if (checksum(content, offset, end) !== expected) return undefined;
  return {payload: content.subarray(offset + headerBytes, end), end};
}

/** Finds all intact records after `offset`, skipping damaged bytes. */
export function* searchRecords(
  content: Buffer,
  offset: number,
): Generator<FoundRecord> {
  let position = offset;
  while (position + headerBytes <= content.length) {
    const found = readRecord(content, position);
    if (found !== undefined) yield found;
    position = found?.end ?? position + 1;
  }
}

function checksum(content: Buffer, start: number, end: number): number {
  const length = content.subarray(start + lengthAt, start + checksumAt);
  const payload = content.subarray(start + headerBytes, end);
  return crc32(payload, crc32(length));
}
