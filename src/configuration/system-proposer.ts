/** Proposes changes by a control process itself instead of an operator. */
import type {Consensus} from '../consensus/consensus.js';
import {success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Clock} from '../time/clock.js';
import type {ConfigurationMachine} from './create-configuration-machine.js';
import {decodeAnswer} from './log-entry.js';
import type {Answer, Edit} from './messages.js';

/** Options of `createSystemProposer`. */
export interface SystemProposerOptions {
  /** The operator name of the system; see `system-name.ts`. */
  readonly operator: string;
  readonly consensus: Pick<Consensus, 'propose'>;
  readonly machine: Pick<ConfigurationMachine, 'prepare'>;
  readonly clock: Clock;
}

/** Proposes edits; they are refused if `expectedVersion` is not in force. */
export type SystemProposer = (
  edits: readonly Edit[],
  expectedVersion?: number,
) => Promise<Result<Answer>>;

/** Creates the proposer for one part of a control process. */
export function createSystemProposer(
  options: SystemProposerOptions,
): SystemProposer {
  const {operator, consensus, machine, clock} = options;
  let lastSequence = 0;

  /**
   * A unique sequence: the clock in microseconds, as in operators' sequences.
   */
  function nextSequence(): number {
    const time = Math.floor(clock.wall() * 1000);
    lastSequence = Math.max(time, lastSequence + 1);
    return lastSequence;
  }

  const propose: SystemProposer = async (edits, expectedVersion) => {
    const command = {
      operator,
      sequence: nextSequence(),
      ...(expectedVersion !== undefined && {expectedVersion}),
      edits,
    };
    const proposed = await consensus.propose(
      machine.prepare(command, clock.wall()),
    );
    if (!proposed.ok) return proposed;
    return success(decodeAnswer(proposed.value));
  };

  return async (edits, expectedVersion) => {
    const proposed = await propose(edits, expectedVersion);
    const highest = proposed.ok ? proposed.value.highest : undefined;
    if (highest === undefined) return proposed;
    // The clock was ahead when an earlier process took its sequences from it.
    lastSequence = Math.max(lastSequence, highest);
    return propose(edits, expectedVersion);
  };
}
