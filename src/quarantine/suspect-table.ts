/**
 * Which requests ended which lives of instances, as one control process has
 * heard. Each of them keeps one, so that the next leader knows as much.
 */
import type {Clock} from '../time/clock.js';
import type {CrashEvidence, Suspect} from './messages.js';

/** What is known of one request. */
export interface SuspectRecord {
  /** Undefined while only an answer to it was heard of. */
  readonly suspect: Suspect | undefined;
  /** Lives that ended under it, since it was answered last. */
  readonly endedIncarnations: ReadonlySet<string>;
  /** An instance has answered it of late. */
  readonly isAnswered: boolean;
}

/** The requests under which instances have ended. */
export interface SuspectTable {
  crashed(evidence: CrashEvidence): void;
  answered(name: string): void;
  /** Its quarantine ended; what led to it counts no longer. */
  reset(name: string): void;
  get(name: string): SuspectRecord | undefined;
  /** Whether a life is known to have ended, under whatever ran. */
  hasEnded(life: string): boolean;
  /** The names of all requests that it knows of. */
  names(): Iterable<string>;
}

/** Requests that are remembered. */
const mostRecords = 4096;

/** Ended lives that are remembered. */
const mostEnded = 1024;

/** Lives that are remembered of one request. */
const mostLives = 16;

/** Milliseconds without another word after which a request is forgotten. */
const longestMemory = 600_000;

/**
 * Milliseconds after an answer in which crashes don't count: word of a crash
 * may come later than word of the answer that followed it.
 */
const answerLead = 1_000;

interface TimedRecord {
  readonly suspect: Suspect | undefined;
  readonly endedIncarnations: Set<string>;
  readonly answeredAt: number | undefined;
  readonly updatedAt: number;
}

/** Creates an empty ledger. */
export function createSuspectTable(clock: Clock): SuspectTable {
  /** The one that was heard of last stands last. */
  const records = new Map<string, TimedRecord>();
  const ended = new Set<string>();

  function put(name: string, record: Omit<TimedRecord, 'updatedAt'>): void {
    records.delete(name);
    records.set(name, {...record, updatedAt: clock.now()});
    trim();
  }

  function trim(): void {
    const oldest = clock.now() - longestMemory;
    for (const [name, {updatedAt: updatedAt}] of records) {
      if (updatedAt > oldest && records.size <= mostRecords) return;
      records.delete(name);
    }
  }

  function isJustAnswered({answeredAt}: TimedRecord): boolean {
    return answeredAt !== undefined && clock.now() - answeredAt < answerLead;
  }

  function add(life: string, suspect: Suspect): void {
    const {name} = suspect;
    const known = records.get(name);
    if (known !== undefined && isJustAnswered(known)) return;
    const isFirst = known === undefined || known.answeredAt !== undefined;
    const lives = isFirst ? new Set<string>() : known.endedIncarnations;
    addLast(lives, life, mostLives);
    put(name, {suspect, endedIncarnations: lives, answeredAt: undefined});
  }

  return {
    crashed: ({life, suspects}) => {
      addLast(ended, life, mostEnded);
      for (const suspect of suspects) add(life, suspect);
    },
    answered: name => {
      const suspect = records.get(name)?.suspect;
      const answeredAt = clock.now();
      put(name, {suspect, endedIncarnations: new Set(), answeredAt});
    },
    reset: name => {
      const known = records.get(name);
      if (known === undefined) return;
      if (isJustAnswered(known)) known.endedIncarnations.clear();
      else records.delete(name);
    },
    get: name => {
      const known = records.get(name);
      if (known === undefined) return undefined;
      return {...known, isAnswered: known.answeredAt !== undefined};
    },
    hasEnded: life => ended.has(life),
    names: () => records.keys(),
  };
}

/** Adds to the end; beyond `most` the oldest goes. */
function addLast(lives: Set<string>, life: string, most: number): void {
  lives.add(life);
  if (lives.size > most) lives.delete(lives.values().next().value!);
}
