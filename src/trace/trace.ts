/** Merges log lines of several processes into the trace of one request. */
import type {LogLine} from './log-line.js';

/** Log lines that concern one request. */
export interface Trace {
  /** Lines about the request, oldest first. */
  readonly decisions: readonly LogLine[];
  /**
   * Lines on state changes of the same processes and instances, oldest first.
   */
  readonly beliefs: readonly LogLine[];
  /** Lines that report omitted log lines at that time. */
  readonly gaps: readonly LogLine[];
}

// Milliseconds before the first and after the last decision. State changes are
// logged with heartbeats and leases, which are seconds apart; an ejection lasts
// 5 s.
const windowBefore = 10_000;
const windowAfter = 2_000;

/** Selects the lines that concern one request. */
export function traceRequest(
  request: string,
  lines: readonly LogLine[],
): Trace {
  const decisions = lines.filter(line => line.request === request);
  decisions.sort(byTime);
  const first = decisions[0];
  if (first === undefined) return {decisions: [], beliefs: [], gaps: []};
  const from = timeOf(first) - windowBefore;
  const to = timeOf(decisions[decisions.length - 1]!) + windowAfter;
  const around = lines
    .filter(line => line.request === undefined)
    .filter(line => timeOf(line) >= from && timeOf(line) <= to)
    .sort(byTime);
  const processes = new Set(decisions.map(line => line.process));
  const instances = new Set(decisions.map(line => line.instance));
  instances.delete(undefined);
  return {
    decisions,
    beliefs: around.filter(line => {
      if (isGap(line) || !processes.has(line.process)) return false;
      return line.instance === undefined || instances.has(line.instance);
    }),
    gaps: around.filter(line => isGap(line) && processes.has(line.process)),
  };
}

function isGap({message}: LogLine): boolean {
  return message === 'log lines left out';
}

function timeOf({time}: LogLine): number {
  return Date.parse(time);
}

function byTime(left: LogLine, right: LogLine): number {
  return timeOf(left) - timeOf(right);
}
