import type {Code} from '../../result/code.js';
import {firstServerError} from '../messages/status.js';

/**
 * The log field that counts how a call at a gate or a request at an entry ended;
 * of a refusal or of a failure it is the code's name.
 */
export function outcomeField(
  status: number | undefined,
  code: Code | undefined,
  isLate: boolean,
): string {
  if (code !== undefined) return code.name;
  if (status !== undefined && status >= firstServerError) return 'failed';
  return isLate ? 'late' : 'inTime';
}

const timeFields = new Map<string, string>();

/** The log field with the sum of durations that belongs to an outcome field. */
export function timeFieldOf(field: string): string {
  let name = timeFields.get(field);
  if (name === undefined) timeFields.set(field, (name = `${field}Time`));
  return name;
}
