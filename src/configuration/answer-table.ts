import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import {configurationCodes as codes} from './codes.js';
import type {Bounds} from './limits.js';
import type {Answer, Command} from './messages.js';

/** The first answer to one command. */
export interface RecordedAnswer {
  readonly sequence: number;
  /** Digest of what the command asked for. */
  readonly fingerprint: string;
  readonly answer: Answer;
}

/** What is kept of one operator. */
export interface OperatorAnswers {
  readonly operator: string;
  /** Sequences up to this one are never run, whether they ran or not. */
  readonly floor: number;
  /** In the order of their sequences. */
  readonly recorded: readonly RecordedAnswer[];
}

/** The whole table, as snapshots hold it. */
export interface AnswerTableState {
  /** The floor of operators that are not in the table. */
  readonly floor: number;
  /** Least recently active first. */
  readonly operators: readonly OperatorAnswers[];
}

/** Safeguards that a test may take out to show what they are for. */
export interface AnswerTableSafeguards {
  /** Refuse sequences whose answers were dropped. */
  readonly floor: boolean;
  /** Refuse a sequence that names another command. */
  readonly fingerprint: boolean;
}

/**
 * First answers by operator and sequence, so that a resend is answered and
 * not run again. It is part of the replicated state: a resend may come to
 * another leader, after a snapshot or a restart.
 *
 * The table is bounded. A sequence dropped from it can't be told from one that
 * never came; running it could run a change twice. So each operator has a
 * floor, the highest sequence dropped, and nothing at or under it runs. When a
 * whole operator is dropped its floor joins the one shared by all operators
 * that are not in the table: that keeps the bound on memory and still never
 * runs a dropped sequence.
 */
export interface AnswerTable {
  /** The answer that the command must get without running; else undefined. */
  find(command: Command, version: number): Answer | undefined;
  /** Keeps the first answer of a command that `find` let through. */
  record(command: Command, answer: Answer, bounds: Bounds): void;
  state(): AnswerTableState;
}

interface Mutable {
  floor: number;
  recorded: RecordedAnswer[];
}

const packr = new Packr({useRecords: false});

/** Creates a table, empty or as a snapshot held it. */
export function createAnswerTable(
  state: AnswerTableState = {floor: 0, operators: []},
  safeguards: AnswerTableSafeguards = {floor: true, fingerprint: true},
): AnswerTable {
  let sharedFloor = state.floor;
  const operators = new Map<string, Mutable>();
  for (const {operator, floor, recorded} of state.operators) {
    operators.set(operator, {floor, recorded: [...recorded]});
  }

  function find(command: Command, version: number): Answer | undefined {
    const known = operators.get(command.operator);
    const first = known?.recorded.find(
      ({sequence}) => sequence === command.sequence,
    );
    if (first === undefined) return checkFloor(command, version);
    if (!safeguards.fingerprint) return first.answer;
    if (first.fingerprint === takeFingerprint(command)) return first.answer;
    return answerReused(command, version, highestOf(command.operator));
  }

  function checkFloor(command: Command, version: number): Answer | undefined {
    const floor = operators.get(command.operator)?.floor ?? sharedFloor;
    if (!safeguards.floor || command.sequence > floor) return undefined;
    return answerExpired(command, version, highestOf(command.operator));
  }

  function highestOf(operator: string): number {
    const newest = operators.get(operator)?.recorded.at(-1);
    return newest?.sequence ?? sharedFloor;
  }

  function record(command: Command, answer: Answer, bounds: Bounds): void {
    const {operator, sequence} = command;
    const known = operators.get(operator) ?? {
      floor: sharedFloor,
      recorded: [],
    };
    const fingerprint = takeFingerprint(command);
    insert(known.recorded, {sequence, fingerprint, answer});
    while (known.recorded.length > bounds.answers) {
      known.floor = known.recorded.shift()!.sequence;
    }
    operators.delete(operator);
    operators.set(operator, known);
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
      operators: [...operators].map(([operator, known]) => ({
        operator,
        floor: known.floor,
        recorded: [...known.recorded],
      })),
    }),
  };
}

/** Keeps the list in the order of sequences; most go to its end. */
function insert(recorded: RecordedAnswer[], entry: RecordedAnswer): void {
  let at = recorded.length;
  while (at > 0 && recorded[at - 1]!.sequence > entry.sequence) at--;
  recorded.splice(at, 0, entry);
}

function takeFingerprint(command: Command): string {
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
    `the answer to ${operator}/${sequence} is no longer kept and it was not ` +
    `run again; see history, and use sequences above ${highest}`;
  return {code: codes.answerExpired.number, message, version, highest};
}

function answerReused(
  {operator, sequence}: Command,
  version: number,
  highest: number,
): Answer {
  const message =
    `${operator}/${sequence} names a different command that was answered ` +
    `before; use sequences above ${highest}`;
  return {code: codes.sequenceReused.number, message, version, highest};
}
