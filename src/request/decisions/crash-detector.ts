/**
 * Tells a crash of the upstream from a connection that broke. All that ran when
 * the process ended is lost within moments, and then nothing listens any more.
 */
import type {Timers} from '../../time/timers.js';
import type {Call} from '../messages/call.js';

/** Options of `createCrashWatch`. */
export interface CrashDetectorOptions {
  readonly timers: Timers;
  /** Whether anything listens at the upstream's address; must not reject. */
  readonly isListening: () => Promise<boolean>;
  /** Hears of a crash with the calls that it ended. */
  readonly onCrash: (calls: readonly Call[]) => void;
}

/** Watches for crashes of one life of an upstream. */
export interface CrashDetector {
  /** The upstream broke off while it ran this. */
  lost(call: Call): void;
}

/** Milliseconds in which the connections of a process that ended break off. */
const gatherTime = 50;

/** Creates the watch; a life crashes once. */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  const {timers, isListening, onCrash} = options;
  let lost: Call[] = [];
  let isOver = false;

  async function look(): Promise<void> {
    const calls = lost;
    const listens = await isListening();
    if (isOver) return;
    if (listens) {
      lost = [];
      return;
    }
    isOver = true;
    onCrash(calls);
  }

  return {
    lost: call => {
      if (isOver) return;
      lost.push(call);
      if (lost.length === 1) timers.after(gatherTime, () => void look());
    },
  };
}
