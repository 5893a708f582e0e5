import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import type {AnswerTableState} from './answer-table.js';
import type {Drain, Policy, Route, Service} from './configuration.js';
import type {Change} from './history.js';

/**
 * The whole replicated state. Lists are in the order of names and objects have
 * their keys in one order, so that equal states are equal bytes and one digest
 * compares them.
 */
export interface WholeState {
  readonly format: 1;
  readonly version: number;
  /** The version of the last change that an operator made. */
  readonly operatorVersion: number;
  readonly services: readonly Service[];
  readonly policies: readonly Policy[];
  readonly routes: readonly Route[];
  readonly drains: readonly Drain[];
  readonly answers: AnswerTableState;
  readonly history: readonly Change[];
}

const packr = new Packr({useRecords: false});

/** Encodes the whole state. */
export function encodeState(state: WholeState): Uint8Array {
  return packr.pack(state);
}

/** Decodes a state; throws when the bytes are of another format. */
export function decodeState(bytes: Uint8Array): WholeState {
  const state = packr.unpack(bytes) as WholeState;
  if (state?.format === 1) return state;
  throw new Error(
    'the snapshot is not of format 1; start the release that wrote it',
  );
}

/** The digest of an encoded state, in hexadecimal. */
export function digestState(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}
