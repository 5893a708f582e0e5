/** How much of its processor time a process needs, told as slots are. */
import type {LoopDelay} from '../../time/loop-delay.js';

/**
 * Milliseconds by which the loop of a process without time to spare is late in
 * the mean. A request passes such loops some eight times, a twentieth of a short
 * objective each.
 */
const fullDelay = 10;

/** The load of a process by its processor time: 1 for none to spare. */
export function processorLoad(loopDelay: LoopDelay): number {
  return loopDelay.mean() / fullDelay;
}
