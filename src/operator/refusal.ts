import type {Code} from '../result/code.js';
import type {Refusal} from './messages.js';

/** Creates a refusal with the number, name and effect of a code. */
export function createRefusal(
  code: Code,
  message: string,
  leader?: string,
): Refusal {
  const {number, name, effect} = code;
  const refusal = {code: number, name, effect, message};
  return leader === undefined ? refusal : {...refusal, leader};
}
