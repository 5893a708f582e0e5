import {Packr} from 'msgpackr';
import type {Bounds} from './limits.js';
import type {Answer, Command} from './messages.js';
import {entryShape} from './shape.js';

/** One entry of the replicated log. */
export interface Entry {
  readonly command: Command;
  /** Milliseconds since the epoch on the proposer's clock; for people only. */
  readonly time: number;
  /** The proposer's bounds; every process applies the entry under these. */
  readonly bounds: Bounds;
}

const packr = new Packr({useRecords: false});

/** Encodes an entry for the log. */
export function encodeEntry(entry: Entry): Uint8Array {
  return packr.pack(entry);
}

/** Decodes an entry; undefined when it is not one. */
export function decodeEntry(bytes: Uint8Array): Entry | undefined {
  try {
    return entryShape.safeParse(packr.unpack(bytes)).data;
  } catch {
    return undefined;
  }
}

/** Encodes the answer that an entry was given. */
export function encodeAnswer(answer: Answer): Uint8Array {
  return packr.pack(answer);
}

/** Decodes an answer; the bytes come from this process's own machine. */
export function decodeAnswer(bytes: Uint8Array): Answer {
  return packr.unpack(bytes) as Answer;
}
