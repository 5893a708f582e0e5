import {configurationCodes as codes} from '../configuration/codes.js';
import {commonCodes} from '../result/codes.js';
import type {Refusal} from './messages.js';

/** Exit codes of the operator commands; the highest of a session is given. */
export const operatorExitCodes = {
  /** Accepted, or answered. */
  accepted: 0,
  /** The command line or the command can't be read; nothing was sent. */
  usage: 2,
  /** Refused; nothing was changed. */
  refused: 3,
  /** Another change came first; look and send again under a new sequence. */
  conflict: 4,
  /** Not known whether it was accepted; resend under the same id. */
  unknown: 5,
  /** No control process could be reached; nothing was sent. */
  unreachable: 6,
} as const;

/** The exit code that a refusal stands for. */
export function refusalExitCode({code, effect}: Refusal): number {
  if (effect === 'unknown') return operatorExitCodes.unknown;
  if (code === commonCodes.unreachable.number) {
    return operatorExitCodes.unreachable;
  }
  return codeExitCode(code);
}

/** The exit code that the number of a result code stands for. */
export function codeExitCode(code: number): number {
  switch (code) {
    case commonCodes.ok.number:
      return operatorExitCodes.accepted;
    case codes.conflict.number:
      return operatorExitCodes.conflict;
    case codes.answerExpired.number:
      return operatorExitCodes.unknown;
    default:
      return operatorExitCodes.refused;
  }
}
