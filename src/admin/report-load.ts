import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';

/** What is read of a gate. */
export interface LoadedGate {
  readonly running: number;
  /** Running and waiting work over the slots. */
  readonly load: number;
}

/** What is read of a gate's listener. */
export interface AnswerSource {
  /** Bytes of answers that wait to leave for other nodes. */
  readonly unsent: number;
}

/** What is read of the upstream beside the node. */
export interface SlotSource {
  upstream(): {readonly slots: number} | undefined;
}

/** Milliseconds between two looks. */
const lookEvery = 1000;

/** Reports a gate's load from time to time, while there is an upstream. */
export function reportLoad(
  gate: LoadedGate,
  answers: AnswerSource,
  source: SlotSource,
  metrics: Metrics,
  timers: Timers,
): Subscription {
  return timers.every(lookEvery, () => {
    const slots = source.upstream()?.slots ?? 0;
    if (slots === 0) return;
    const queued = Math.round(gate.load * slots) - gate.running;
    const {unsent} = answers;
    metrics.load({queued, running: gate.running, slots, unsent});
  });
}
