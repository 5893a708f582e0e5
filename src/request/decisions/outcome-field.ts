import type {Code} from '../../result/code.js';
import {firstServerError} from '../messages/status.js';

/** How a call at a gate or a request at an entry ended. */
export interface CountedOutcome {
  readonly status: number | undefined;
  /** Code of a refusal or of a failure. */
  readonly code: Code | undefined;
  readonly isLate: boolean;
}

/** The log field that counts an outcome; of a refusal it is the code's name. */
export function outcomeField({status, code, isLate}: CountedOutcome): string {
  if (code !== undefined) return code.name;
  if (status !== undefined && status >= firstServerError) return 'failed';
  return isLate ? 'late' : 'inTime';
}
