import type {UpstreamReport} from '../request/decisions/upstream-report.js';
import {noObservations} from '../request/messages/answer-observation.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';

/** The load of a gate. */
export interface LoadedGate {
  /** What the upstream has reported; undefined without an upstream. */
  readonly report: UpstreamReport | undefined;
  readonly running: number;
  readonly waiting: number;
}

/** The answers of a gate's listener. */
export interface AnswerSource {
  /** Bytes of answers to other nodes that have not been sent yet. */
  readonly unsent: number;
}

/** The slots of the node's upstream. */
export interface SlotSource {
  upstream(): {readonly slots: number} | undefined;
}

/** Interval between two reports, in milliseconds. */
const reportInterval = 1000;

/** Reports the load of a gate periodically while the node has an upstream. */
export function reportLoad(
  gate: LoadedGate,
  answers: AnswerSource,
  source: SlotSource,
  metrics: Metrics,
  timers: Timers,
): Subscription {
  return timers.every(reportInterval, () => {
    reportSignals(gate.report, metrics);
    const slots = source.upstream()?.slots ?? 0;
    if (slots === 0) return;
    const {running, waiting: queued} = gate;
    metrics.load({queued, running, slots, unsent: answers.unsent});
  });
}

function reportSignals(
  report: UpstreamReport | undefined,
  metrics: Metrics,
): void {
  metrics.signals({
    limit: report?.limiter.rate,
    isLeaving: report?.isLeaving ?? false,
    malformed: report?.malformed ?? 0,
    observed: report?.observed ?? noObservations,
  });
}
