import type {Code} from '../result/code.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';

/** Converts an error of the disk to a failure with a result code. */
export function toFailure(error: unknown): Failure {
  const cause = error as NodeJS.ErrnoException;
  if (cause instanceof Failure) return cause;
  const isFull = cause.code === 'ENOSPC' || cause.code === 'EDQUOT';
  const code: Code = isFull
    ? consensusCodes.diskFull
    : consensusCodes.syncFailed;
  return new Failure(code, "the data folder can't be used", cause);
}
