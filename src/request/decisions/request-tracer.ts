/**
 * Logs the decisions about requests. The decisions are buffered until the
 * request ends: most requests succeed, and logging each of them would cost more
 * than serving it. A sample of the successful requests is logged too, for
 * comparison; every process samples the same requests.
 */
import murmurhash from 'murmurhash';
import {createLineBudget} from '../../log/line-budget.js';
import type {Fields, Log} from '../../log/log.js';
import type {Clock} from '../../time/clock.js';
import type {Timers} from '../../time/timers.js';

/** Kinds of decisions; docs/LOGS.md lists the fields of each. */
export type Decision =
  | 'routed'
  | 'chosen'
  | 'moved'
  | 'offered'
  | 'sent'
  | 'answered'
  | 'refused'
  | 'cancelled'
  | 'cut';

/**
 * Notable outcomes are all logged, as far as the rate limit allows; plain ones
 * only if they are sampled.
 */
export type OutcomeKind = 'plain' | 'notable';

/** The decisions about one request in one process. */
export interface RequestTrace {
  /** Records a decision and the inputs that it was based on. */
  record(decision: Decision, inputs: Fields): void;
  /** Records the last decision; later calls are ignored. */
  end(decision: Decision, fields: Fields, outcome: OutcomeKind): void;
}

/** Creates the traces of requests. */
export interface RequestTracer {
  /** Begins the trace of a request by its id, which all processes share. */
  begin(request: string): RequestTrace;
}

/** Options of `createRequestTracer`. */
export interface RequestTracerOptions {
  readonly log: Log;
  readonly timers: Timers;
  /** One in this many successful requests is logged; 256 by default. */
  readonly sampling?: number;
  /** Average limit of lines per second; 20 by default. */
  readonly rate?: number;
  /** Maximum number of lines in a burst; 60 by default. */
  readonly burst?: number;
}

interface DecisionRecord {
  readonly decision: Decision;
  readonly fields: Fields;
  /** Milliseconds since the epoch. */
  readonly at: number;
}

// A line costs 13 us of processor time, and 80 us before the code is optimized.
// 20 lines per second take 0.03 % of a core, which is a fortieth of a node's
// budget for all control work. A burst of 60 lines covers about 12 requests,
// which is enough to diagnose a sudden failure.
const defaults = {sampling: 256, rate: 20, burst: 60};

/** Maximum length of a logged id; callers may send longer ones. */
const maxIdLength = 64;

/** Creates the tracer of one component of a process. */
export function createRequestTracer(
  options: RequestTracerOptions,
): RequestTracer {
  const {log, timers} = options;
  const limits = {...defaults, ...options};
  const {rate, burst} = limits;
  const budget = createLineBudget({rate, burst, timers, log});

  /** Hashes the id, so that every process samples the same requests. */
  function isSampled(request: string): boolean {
    return murmurhash.v3(request) % limits.sampling === 0;
  }

  function write(request: string, records: readonly DecisionRecord[]): void {
    if (!budget.take(records.length)) return;
    const id = request.slice(0, maxIdLength);
    for (const {decision, fields, at} of records) {
      log.info(decision, {request: id, ...fields}, at);
    }
  }

  function finish(
    request: string,
    records: readonly DecisionRecord[],
    outcome: OutcomeKind,
  ) {
    if (outcome === 'notable' || isSampled(request)) write(request, records);
  }

  return {begin: request => new OpenTrace(request, timers, finish)};
}

/** Receives the records of a request that has ended. */
type Finish = (
  request: string,
  records: readonly DecisionRecord[],
  outcome: OutcomeKind,
) => void;

// This is a class, since closures for each request would cost more than the
// records.
class OpenTrace implements RequestTrace {
  private readonly records: DecisionRecord[] = [];
  private isEnded = false;

  constructor(
    private readonly request: string,
    private readonly clock: Clock,
    private readonly finish: Finish,
  ) {}

  record(decision: Decision, fields: Fields): void {
    if (this.isEnded) return;
    this.records.push({decision, fields, at: this.clock.wall()});
  }

  end(decision: Decision, fields: Fields, outcome: OutcomeKind): void {
    if (this.isEnded) return;
    this.record(decision, fields);
    this.isEnded = true;
    this.finish(this.request, this.records, outcome);
  }
}

/** Creates a tracer that records nothing. */
export function createNoopRequestTracer(): RequestTracer {
  const trace: RequestTrace = {record: () => {}, end: () => {}};
  return {begin: () => trace};
}
