/** Joins the lines of several processes into the story of one request. */
import type {LogLine} from './log-line.js';

/** The story of one request. */
export interface Trace {
  /** Lines about the request, by time. */
  readonly decisions: readonly LogLine[];
  /** What processes came to believe around it, by time. */
  readonly beliefs: readonly LogLine[];
  /** Lines that say that others were left out, around it. */
  readonly gaps: readonly LogLine[];
}

// Beliefs come with heartbeats and leases, seconds apart; an ejection lasts 5 s.
const before = 10_000;
const after = 2_000;

/** Collects what lines tell of one request. */
export function traceRequest(
  request: string,
  lines: readonly LogLine[],
): Trace {
  const decisions = lines.filter(line => line.request === request);
  decisions.sort(byTime);
  const first = decisions[0];
  if (first === undefined) return {decisions: [], beliefs: [], gaps: []};
  const from = timeOf(first) - before;
  const to = timeOf(decisions[decisions.length - 1]!) + after;
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
