/**
 * What was decided about each request. The decisions are kept until the
 * request ends and only then written: most requests go well, and their lines
 * would cost more than the requests. One in some is written all the same, the
 * same ones in every process, so that a good request can be compared with.
 */
import murmurhash from 'murmurhash';
import {createLineBudget} from '../../log/line-budget.js';
import type {Fields, Log} from '../../log/log.js';
import type {Clock} from '../../time/clock.js';
import type {Timers} from '../../time/timers.js';

/** What was decided; docs/LOGS.md tells the fields of each. */
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

/** Whether an end is worth its lines whatever the sampling says. */
export type OutcomeKind = 'plain' | 'notable';

/** The decisions about one request in one process. */
export interface RequestTrace {
  /** Notes a decision and what it was made on. */
  record(decision: Decision, inputs: Fields): void;
  /** Notes the last decision; later calls are ignored. */
  end(decision: Decision, outcome: Fields, ending: OutcomeKind): void;
}

/** Where stories begin. */
export interface RequestTracer {
  /** `request` is the id that all processes know it by. */
  begin(request: string): RequestTrace;
}

/** Options of `createStories`. */
export interface RequestTracerOptions {
  readonly log: Log;
  readonly timers: Timers;
  /** One in so many good requests is written; 256 unless given. */
  readonly sampling?: number;
  /** Lines a second in the long run; 20 unless given. */
  readonly rate?: number;
  /** Lines that may come at once; 60 unless given. */
  readonly burst?: number;
}

interface Note {
  readonly decision: Decision;
  readonly fields: Fields;
  /** Milliseconds since the epoch. */
  readonly at: number;
}

// A line costs 13 us of processor time, 80 us while the code is cold. 20 a
// second are 0.03 % of a core, a fortieth of what a node may take for all
// control; a burst of 60 is some 12 requests, enough to see what a sudden
// failure was.
const defaults = {sampling: 256, rate: 20, burst: 60};

/** Longest id that is written; a caller may send any. */
const longestId = 64;

/** Creates the stories of one part of a process. */
export function createRequestTracer(options: RequestTracerOptions): RequestTracer {
  const {log, timers} = options;
  const limits = {...defaults, ...options};
  const {rate, burst} = limits;
  const budget = createLineBudget({rate, burst, timers, log});

  /** Each process samples the same requests. */
  function isSampled(request: string): boolean {
    return murmurhash.v3(request) % limits.sampling === 0;
  }

  function write(request: string, notes: readonly Note[]): void {
    if (!budget.take(notes.length)) return;
    const id = request.slice(0, longestId);
    for (const {decision, fields, at} of notes) {
      log.info(decision, {request: id, ...fields}, at);
    }
  }

  function finish(request: string, notes: readonly Note[], ending: OutcomeKind) {
    if (ending === 'notable' || isSampled(request)) write(request, notes);
  }

  return {begin: request => new OpenStory(request, timers, finish)};
}

/** Takes the notes of a request that has ended. */
type Finish = (request: string, notes: readonly Note[], ending: OutcomeKind) => void;

// A class: functions made for each request would cost more than the notes.
class OpenStory implements RequestTrace {
  private readonly notes: Note[] = [];
  private isOver = false;

  constructor(
    private readonly request: string,
    private readonly clock: Clock,
    private readonly finish: Finish,
  ) {}

  record(decision: Decision, fields: Fields): void {
    if (this.isOver) return;
    this.notes.push({decision, fields, at: this.clock.wall()});
  }

  end(decision: Decision, outcome: Fields, ending: OutcomeKind): void {
    if (this.isOver) return;
    this.record(decision, outcome);
    this.isOver = true;
    this.finish(this.request, this.notes, ending);
  }
}

/** Stories that nobody reads. */
export function createNoopRequestTracer(): RequestTracer {
  const story: RequestTrace = {record: () => {}, end: () => {}};
  return {begin: () => story};
}
