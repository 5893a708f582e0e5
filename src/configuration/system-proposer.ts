/** Proposes changes that a control process makes itself, not an operator. */
import type {Consensus} from '../consensus/consensus.js';
import {success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Clock} from '../time/clock.js';
import type {ConfigurationMachine} from './create-configuration-machine.js';
import {decodeAnswer} from './log-entry.js';
import type {Answer, Edit} from './messages.js';

/** Options of `createSystemProposer`. */
export interface SystemProposerOptions {
  /** The system's own operator name; see `system-name.ts`. */
  readonly operator: string;
  readonly consensus: Pick<Consensus, 'propose'>;
  readonly machine: Pick<ConfigurationMachine, 'prepare'>;
  readonly clock: Clock;
}

/** Proposes edits; refused unless `expectedVersion`, if given, is in force. */
export type SystemProposer = (
  edits: readonly Edit[],
  expectedVersion?: number,
) => Promise<Result<Answer>>;

/** Creates the proposer of one part of a control process. */
export function createSystemProposer(
  options: SystemProposerOptions,
): SystemProposer {
  const {operator, consensus, machine, clock} = options;
  let lastSequence = 0;

  /** Clock in microseconds, as operators' sequences are; never the same twice. */
  function nextSequence(): number {
    const time = Math.floor(clock.wall() * 1000);
    lastSequence = Math.max(time, lastSequence + 1);
    return lastSequence;
  }

  return async (edits, expectedVersion) => {
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
}
