import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {CoreState} from './core-state.js';
import {isReplaced} from './core.js';
import type {ReplaceAnswer} from './membership.js';

/** Calls that wait until the replacement of a member is complete. */
export interface Replacements {
  /** Resolves when the replacement is complete or was cancelled. */
  wait(leaving: string, joining: string): Promise<Result<void>>;
  /**
   * Checks the waiting calls; to be called after each commit and loss of
   * leadership.
   */
  check(): void;
}

interface Waiter {
  readonly leaving: string;
  readonly joining: string;
  readonly settle: (result: Result<void>) => void;
}

/** Creates the register of waiting replacements. */
export function createReplacements(
  state: Readonly<CoreState>,
  isLeading: () => boolean,
): Replacements {
  const waiters = new Set<Waiter>();

  function isAbandoned(joining: string): boolean {
    const {voters, learners, replacement} = state.log.membership;
    if (replacement !== undefined) return false;
    const all = [...voters, ...learners];
    return all.every(member => member.name !== joining);
  }

  function outcomeOf({leaving, joining}: Waiter): Result<void> | undefined {
    if (isReplaced(state, leaving, joining)) return success(undefined);
    if (!isLeading()) {
      return failure(
        consensusCodes.outcomeUnknown,
        'leadership ended during the replacement; the next leader continues it, see the status',
      );
    }
    if (!isAbandoned(joining)) return undefined;
    return failure(
      consensusCodes.memberUnreachable,
      `${joining} did not answer and was removed; start it and replace again`,
    );
  }

  return {
    wait: (leaving, joining) =>
      new Promise(settle => {
        waiters.add({leaving, joining, settle});
      }),
    check() {
      for (const waiter of [...waiters]) {
        const outcome = outcomeOf(waiter);
        if (outcome === undefined) continue;
        waiters.delete(waiter);
        waiter.settle(outcome);
      }
    },
  };
}

/** The result for a replacement that was not begun. */
export function refuseReplacement(
  answer: Exclude<ReplaceAnswer, 'begun' | 'not-leader'>,
  leaving: string,
  joining: string,
): Result<never> {
  switch (answer) {
    case 'busy':
      return failure(
        consensusCodes.replacementRunning,
        'another member change is not finished; wait until it is',
      );
    case 'unknown':
      return failure(
        consensusCodes.memberUnknown,
        `${leaving} is not a voter of the control group; see its status`,
      );
    case 'present':
      return failure(
        consensusCodes.memberPresent,
        `${joining} is already part of the control group`,
      );
  }
}
