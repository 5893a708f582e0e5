import {configurationCodes as codes} from '../configuration/codes.js';
import {commonCodes} from '../result/codes.js';
import type {Refusal} from './messages.js';

/**
 * Exit codes of operator commands; a shell exits with the highest code of its
 * commands.
 */
export const operatorExitCodes = {
  /** The change was accepted, or the query was answered. */
  accepted: 0,
  /** The command line or the command is invalid; nothing was sent. */
  usage: 2,
  /** The command was refused; nothing was changed. */
  refused: 3,
  /**
   * Another change was accepted first; review it and retry under a new
   * sequence.
   */
  conflict: 4,
  /**
   * It is unknown whether the change was accepted; resend it under the same id.
   */
  unknown: 5,
  /** No control process could be reached; nothing was sent. */
  unreachable: 6,
} as const;

/** Returns the exit code for a refusal. */
export function refusalExitCode({code, effect}: Refusal): number {
  if (effect === 'unknown') return operatorExitCodes.unknown;
  if (code === commonCodes.unreachable.number) {
    return operatorExitCodes.unreachable;
  }
  return codeExitCode(code);
}

/** Returns the exit code for the number of a result code. */
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
