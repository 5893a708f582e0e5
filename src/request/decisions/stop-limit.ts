/**
 * Refuses calls that would still run when a planned stop ends. They would be
 * cut off while their instance is at work, and their callers could not know
 * whether they have run.
 */
import type {Timers} from '../../time/timers.js';
import type {Call, Refusal} from '../messages/call.js';
import type {Code} from '../../result/code.js';
import {createRefusal} from '../messages/refusal.js';

/** The calls that may start during a planned stop of this process. */
export interface StopLimit {
  /**
   * Begins the stop; calls are cut off at `end`, on the timer service's clock.
   * If it is called again, the earlier end applies.
   */
  begin(end: number): void;
  /** Records how long a call of a kind took, in milliseconds. */
  record(kind: string | undefined, duration: number): void;
  /** Refuses a call that may not end before the stop; undefined otherwise. */
  refusalFor(
    call: Pick<Call, 'deadline' | 'policy'>,
    code: Code,
  ): Refusal | undefined;
}

/** Milliseconds between the end of a call and the last byte at its caller. */
const answerMargin = 100;

/** Factor by which each duration of a kind reduces its longest one. */
const decay = 0.998;

/** How much longer than the longest recent call of its kind a call may take. */
const allowance = 1.25;

/** Maximum number of kinds with separate durations. */
const maxKinds = 256;

/** Creates the limit of a process that is not stopping. */
export function createStopLimit(timers: Pick<Timers, 'now'>): StopLimit {
  const longest = new Map<string, number>();
  let stopEnd = Infinity;

  /** Milliseconds that a call of a kind takes at most, as far as is known. */
  function expectedTime(kind: string | undefined): number {
    const known = kind === undefined ? undefined : longest.get(kind);
    return known === undefined ? Infinity : known * allowance;
  }

  return {
    begin: end => {
      stopEnd = Math.min(stopEnd, end);
    },
    record: (kind, duration) => {
      if (kind === undefined) return;
      const previous = longest.get(kind);
      if (previous === undefined && longest.size >= maxKinds) return;
      longest.set(kind, Math.max(duration, (previous ?? 0) * decay));
    },
    refusalFor: ({deadline, policy}, code) => {
      if (stopEnd === Infinity) return undefined;
      const expectedEnd = timers.now() + expectedTime(policy);
      const latestEnd = Math.min(deadline, expectedEnd);
      if (latestEnd + answerMargin <= stopEnd) return undefined;
      return createRefusal(code, 'it may not end before this node stops');
    },
  };
}
