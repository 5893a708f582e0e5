import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import {configurationCodes as codes} from './codes.js';
import type {Bounds} from './limits.js';
import type {Answer, Command} from './messages.js';

/** The first answer to one command. */
export interface RecordedAnswer {
  readonly sequence: number;
  /** Digest of the command's content. */
  readonly fingerprint: string;
  readonly answer: Answer;
}

/** The answers kept for one operator. */
export interface OperatorAnswers {
  readonly operator: string;
  /**
   * Commands with a sequence up to this one are refused, whether they ran or
   * not.
   */
  readonly floor: number;
  /** Ordered by sequence. */
  readonly recorded: readonly RecordedAnswer[];
}

/** The whole table, as it is stored in snapshots. */
export interface AnswerTableState {
  /** The floor for operators that are not in the table. */
  readonly floor: number;
  /** Least recently active first. */
  readonly operators: readonly OperatorAnswers[];
}

/** Safeguards that a test can turn off to show their purpose. */
export interface AnswerTableSafeguards {
  /** Refuses sequences whose answers were dropped. */
  readonly floor: boolean;
  /** Refuses a sequence that was used for another command. */
  readonly fingerprint: boolean;
}

/**
 * First answers by operator and sequence, so that a resend gets its answer and
 * does not run again. The table is part of the replicated state, because a
 * resend may arrive at another leader, or after a snapshot or a restart.
 *
 * The size of the table is bounded. A sequence that was dropped from it can't
 * be distinguished from one that was never received, and running it could apply
 * a change twice. Therefore each operator has a floor, the highest dropped
 * sequence, and no command at or below it runs. When a whole operator is
 * dropped, its highest sequence raises the floor that is shared by all
 * operators that are not in the table. This bounds the memory and still never
 * runs a dropped sequence.
 */
export interface AnswerTable {
  /** The answer if the command must not run; otherwise undefined. */
  find(command: Command, version: number): Answer | undefined;
  /**
   * Records the first answer to a command for which `find` returned undefined.
   */
  record(command: Command, answer: Answer, bounds: Bounds): void;
  state(): AnswerTableState;
}

interface OperatorEntry {
  floor: number;
  recorded: RecordedAnswer[];
}

const packr = new Packr({useRecords: false});

/** Creates a table, empty or from the state in a snapshot. */
export function createAnswerTable(
  state: AnswerTableState = {floor: 0, operators: []},
  safeguards: AnswerTableSafeguards = {floor: true, fingerprint: true},
): AnswerTable {
  let sharedFloor = state.floor;
  const operators = new Map<string, OperatorEntry>();
  for (const {operator, floor, recorded} of state.operators) {
    operators.set(operator, {floor, recorded: [...recorded]});
  }

  function find(command: Command, version: number): Answer | undefined {
    const entry = operators.get(command.operator);
    const first = entry?.recorded.find(
      ({sequence}) => sequence === command.sequence,
    );
    if (first === undefined) return checkFloor(command, version);
    if (!safeguards.fingerprint) return first.answer;
    if (first.fingerprint === computeFingerprint(command)) return first.answer;
    return answerReused(command, version, highestSequence(command.operator));
  }

  function checkFloor(command: Command, version: number): Answer | undefined {
    const floor = operators.get(command.operator)?.floor ?? sharedFloor;
    if (!safeguards.floor || command.sequence > floor) return undefined;
    return answerExpired(command, version, highestSequence(command.operator));
  }

  function highestSequence(operator: string): number {
    const newest = operators.get(operator)?.recorded.at(-1);
    return newest?.sequence ?? sharedFloor;
  }

  function record(command: Command, answer: Answer, bounds: Bounds): void {
    const {operator, sequence} = command;
    const entry = operators.get(operator) ?? {
      floor: sharedFloor,
      recorded: [],
    };
    const fingerprint = computeFingerprint(command);
    insert(entry.recorded, {sequence, fingerprint, answer});
    while (entry.recorded.length > bounds.answers) {
      entry.floor = entry.recorded.shift()!.sequence;
    }
    operators.delete(operator);
    operators.set(operator, entry);
    while (operators.size > bounds.operators) dropOldest();
  }

  function dropOldest(): void {
    const [name, dropped] = operators.entries().next().value!;
    const highest = dropped.recorded.at(-1)?.sequence ?? 0;
    sharedFloor = Math.max(sharedFloor, dropped.floor, highest);
    operators.delete(name);
  }

  return {
    find,
    record,
    state: () => ({
      floor: sharedFloor,
      operators: [...operators].map(([operator, entry]) => ({
        operator,
        floor: entry.floor,
        recorded: [...entry.recorded],
      })),
    }),
  };
}

/** Inserts an answer by its sequence; most are inserted at the end. */
function insert(recorded: RecordedAnswer[], added: RecordedAnswer): void {
  let index = recorded.length;
  while (index > 0 && recorded[index - 1]!.sequence > added.sequence) index--;
  recorded.splice(index, 0, added);
}

function computeFingerprint(command: Command): string {
  const {expectedVersion = null, edits} = command;
  return createHash('sha256')
    .update(packr.pack({expectedVersion, edits}))
    .digest('base64')
    .slice(0, 16);
}

function answerExpired(
  {operator, sequence}: Command,
  version: number,
  highest: number,
): Answer {
  const message =
    `the answer to ${operator}/${sequence} is no longer stored, and the command ` +
    `was not run again; see history, and use sequences above ${highest}`;
  return {code: codes.answerExpired.number, message, version, highest};
}

function answerReused(
  {operator, sequence}: Command,
  version: number,
  highest: number,
): Answer {
  const message =
    `${operator}/${sequence} was already used for a different command; ` +
    `use sequences above ${highest}`;
  return {code: codes.sequenceReused.number, message, version, highest};
}
