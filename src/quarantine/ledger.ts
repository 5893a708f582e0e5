/**
 * Which requests ended which lives of instances, as one control process has
 * heard. Each of them keeps one, so that the next leader knows as much.
 */
import type {Clock} from '../time/clock.js';
import type {CrashEvidence, Suspect} from './messages.js';

/** What is known of one request. */
export interface SuspectRecord {
  readonly suspect: Suspect;
  readonly lives: ReadonlySet<string>;
  /** An instance has answered it since. */
  readonly isAnswered: boolean;
}

/** The requests under which instances have ended. */
export interface Ledger {
  crashed(evidence: CrashEvidence): void;
  answered(name: string): void;
  forget(name: string): void;
  get(name: string): SuspectRecord | undefined;
  records(): Iterable<SuspectRecord>;
}

/** Requests that are remembered. */
const mostRecords = 4096;

/** Lives that are remembered of one request. */
const mostLives = 16;

/** Milliseconds without another crash after which a request is forgotten. */
const longestMemory = 600_000;

interface OwnRecord {
  readonly suspect: Suspect;
  readonly lives: Set<string>;
  isAnswered: boolean;
  readonly heardAt: number;
}

/** Creates an empty ledger. */
export function createLedger(clock: Clock): Ledger {
  /** The one that was heard of last stands last. */
  const records = new Map<string, OwnRecord>();

  function add(life: string, suspect: Suspect): void {
    const {name} = suspect;
    const known = records.get(name);
    const isAnswered = known?.isAnswered ?? false;
    // Crashes before an answer count no longer.
    const lives = isAnswered ? new Set<string>() : known?.lives;
    records.delete(name);
    records.set(name, {
      suspect,
      lives: addLife(lives ?? new Set(), life),
      isAnswered,
      heardAt: clock.now(),
    });
  }

  function trim(): void {
    const oldest = clock.now() - longestMemory;
    for (const [name, {heardAt}] of records) {
      if (heardAt > oldest && records.size <= mostRecords) return;
      records.delete(name);
    }
  }

  return {
    crashed: ({life, suspects}) => {
      for (const suspect of suspects) add(life, suspect);
      trim();
    },
    answered: name => {
      const known = records.get(name);
      if (known !== undefined) known.isAnswered = true;
    },
    forget: name => void records.delete(name),
    get: name => records.get(name),
    records: () => records.values(),
  };
}

function addLife(lives: Set<string>, life: string): Set<string> {
  if (lives.size < mostLives) lives.add(life);
  return lives;
}
