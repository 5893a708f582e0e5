import VError from 'verror';
import type {Code} from './code.js';

/** An error that carries a numbered result code. */
export class Failure extends VError {
  constructor(
    readonly code: Code,
    message: string,
    cause?: Error,
  ) {
    super({name: 'Failure', cause, info: {code: code.number}}, '%s', message);
  }
}

/** Either a value or a failure. */
export type Result<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly code: Code; readonly message: string};

/** Creates a successful result. */
export function success<T>(value: T): Result<T> {
  return {ok: true, value};
}

/** Creates a failed result; `message` states what to do about it. */
export function failure(code: Code, message: string): Result<never> {
  return {ok: false, code, message};
}
