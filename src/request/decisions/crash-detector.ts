/**
 * Distinguishes a crash of the upstream from a broken connection. When the
 * process ends, all its connections fail within milliseconds and nothing
 * listens at its address any more.
 */
import type {Timers} from '../../time/timers.js';
import type {Call} from '../messages/call.js';

/** Options of `createCrashDetector`. */
export interface CrashDetectorOptions {
  readonly timers: Timers;
  /** Whether a process listens at the upstream's address; must not reject. */
  readonly isListening: () => Promise<boolean>;
  /** Called for a crash with the calls that were running. */
  readonly onCrash: (calls: readonly Call[]) => void;
}

/** Detects the crash of one incarnation of an upstream. */
export interface CrashDetector {
  /** Records that the connection to the upstream failed during the call. */
  lost(call: Call): void;
}

/** Milliseconds within which all connections of a crashed process fail. */
const crashWindow = 50;

/** Creates the detector; it reports at most one crash. */
export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const {timers, isListening, onCrash} = options;
  let lostCalls: Call[] = [];
  let hasCrashed = false;

  async function check(): Promise<void> {
    const calls = lostCalls;
    const isAlive = await isListening();
    if (hasCrashed) return;
    if (isAlive) {
      lostCalls = [];
      return;
    }
    hasCrashed = true;
    onCrash(calls);
  }

  return {
    lost: call => {
      if (hasCrashed) return;
      lostCalls.push(call);
      if (lostCalls.length === 1) timers.after(crashWindow, () => void check());
    },
  };
}
