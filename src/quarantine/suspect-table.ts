/**
 * Records which requests were running when which incarnations of instances
 * crashed. Every control process keeps a table, so that a new leader has the
 * same evidence.
 */
import type {Clock} from '../time/clock.js';
import type {CrashEvidence, Suspect} from './messages.js';

/** The evidence about one request. */
export interface SuspectRecord {
  /** Undefined while only an answer to the request has been reported. */
  readonly suspect: Suspect | undefined;
  /** Incarnations that crashed while it ran, since its last answer. */
  readonly endedIncarnations: ReadonlySet<string>;
  /** Whether an instance has answered it since the last counted crash. */
  readonly isAnswered: boolean;
}

/** The requests that were running when instances crashed. */
export interface SuspectTable {
  /** Records a crash for each of its suspects. */
  crashed(evidence: CrashEvidence): void;
  /** Records an answer, which discards the crashes recorded before it. */
  answered(name: string): void;
  /** Discards the crashes of a request whose quarantine has ended. */
  reset(name: string): void;
  get(name: string): SuspectRecord | undefined;
  /** Whether a crash of the incarnation was reported, whatever was running. */
  hasEnded(incarnation: string): boolean;
  /** The names of all recorded requests. */
  names(): Iterable<string>;
}

/** Maximum number of recorded requests. */
const maxRecords = 4096;

/** Maximum number of recorded ended incarnations. */
const maxEnded = 1024;

/** Maximum number of ended incarnations recorded for one request. */
const maxIncarnations = 16;

/** Milliseconds without a further report after which a record is dropped. */
const recordRetention = 600_000;

/**
 * Milliseconds after an answer during which crashes are not counted: the report
 * of a crash may arrive later than that of the answer that followed it.
 */
const answerWindow = 1_000;

interface TimedRecord {
  readonly suspect: Suspect | undefined;
  readonly endedIncarnations: Set<string>;
  readonly answeredAt: number | undefined;
  readonly updatedAt: number;
}

/** Creates an empty table. */
export function createSuspectTable(clock: Clock): SuspectTable {
  /** Ordered by the time of the last update, oldest first. */
  const records = new Map<string, TimedRecord>();
  const endedIncarnations = new Set<string>();

  function put(name: string, record: Omit<TimedRecord, 'updatedAt'>): void {
    records.delete(name);
    records.set(name, {...record, updatedAt: clock.now()});
    trim();
  }

  function trim(): void {
    const oldest = clock.now() - recordRetention;
    for (const [name, {updatedAt}] of records) {
      if (updatedAt > oldest && records.size <= maxRecords) return;
      records.delete(name);
    }
  }

  function isJustAnswered({answeredAt}: TimedRecord): boolean {
    return answeredAt !== undefined && clock.now() - answeredAt < answerWindow;
  }

  function add(incarnation: string, suspect: Suspect): void {
    const {name} = suspect;
    const existing = records.get(name);
    if (existing !== undefined && isJustAnswered(existing)) return;
    const isFirst = existing === undefined || existing.answeredAt !== undefined;
    const incarnations = isFirst
      ? new Set<string>()
      : existing.endedIncarnations;
    addLast(incarnations, incarnation, maxIncarnations);
    put(name, {
      suspect,
      endedIncarnations: incarnations,
      answeredAt: undefined,
    });
  }

  return {
    crashed: ({life, suspects}) => {
      addLast(endedIncarnations, life, maxEnded);
      for (const suspect of suspects) add(life, suspect);
    },
    answered: name => {
      const suspect = records.get(name)?.suspect;
      const answeredAt = clock.now();
      put(name, {suspect, endedIncarnations: new Set(), answeredAt});
    },
    reset: name => {
      const existing = records.get(name);
      if (existing === undefined) return;
      if (isJustAnswered(existing)) existing.endedIncarnations.clear();
      else records.delete(name);
    },
    get: name => {
      const existing = records.get(name);
      if (existing === undefined) return undefined;
      return {...existing, isAnswered: existing.answeredAt !== undefined};
    },
    hasEnded: incarnation => endedIncarnations.has(incarnation),
    names: () => records.keys(),
  };
}

/** Adds at the end; removes the oldest element when there are more than `max`. */
function addLast(set: Set<string>, value: string, max: number): void {
  set.add(value);
  if (set.size > max) set.delete(set.values().next().value!);
}
