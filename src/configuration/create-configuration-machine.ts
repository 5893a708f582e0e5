import {isAppointer} from './appointer-name.js';
import {StateMachine} from '../consensus/consensus.js';
import {commonCodes} from '../result/codes.js';
import {createAnswerTable} from './answer-table.js';
import type {AnswerTableSafeguards} from './answer-table.js';
import {configurationCodes as codes} from './codes.js';
import type {
  Configuration,
  Drain,
  Kind,
  Policy,
  Route,
  Service,
} from './configuration.js';
import {editStore} from './edit-store.js';
import {decodeEntry, encodeAnswer, encodeEntry} from './entry.js';
import type {Entry} from './entry.js';
import {describeChange} from './history.js';
import type {Change} from './history.js';
import {createItemStore} from './item-store.js';
import type {ItemStore, Value} from './item-store.js';
import {selectBounds} from './limits.js';
import type {Limits} from './limits.js';
import type {Answer, Command} from './messages.js';
import {decodeState, digestState, encodeState} from './snapshot.js';
import type {WholeState} from './snapshot.js';

/** Safeguards that a test may take out to show what they are for. */
export interface MachineSafeguards extends AnswerTableSafeguards {
  /** Answer a resend from the table. */
  readonly answers: boolean;
  /** Check references against the whole resulting state. */
  readonly validation: boolean;
}

/** What a configuration machine is made of. */
export interface MachineOptions {
  /** The deployment's limits; entries prepared here carry their bounds. */
  readonly limits: Limits;
  /** For tests only; all on by default. */
  readonly safeguards?: Partial<MachineSafeguards>;
}

/** The replicated configuration: the consensus applies, others look. */
export abstract class ConfigurationMachine extends StateMachine {
  /** The log entry that proposes a command; `time` is since the epoch. */
  abstract prepare(command: Command, time: number): Uint8Array;
  /** The configuration in force on this process. */
  abstract current(): Configuration;
  /** Calls `observe` after each change or restored snapshot. */
  abstract onChange(observe: (version: number) => void): void;
  /** Changes still kept, the newest first. */
  abstract history(): readonly Change[];
  /** Digest of the whole replicated state, answers and history included. */
  abstract digest(): string;
  /** The log index of the last entry applied or snapshot restored. */
  abstract appliedIndex(): number;
}

const allSafeguards: MachineSafeguards = {
  answers: true,
  floor: true,
  fingerprint: true,
  validation: true,
};

/** Creates the machine with an empty configuration. */
export function createConfigurationMachine(
  options: MachineOptions,
): ConfigurationMachine {
  const bounds = selectBounds(options.limits);
  const safeguards = {...allSafeguards, ...options.safeguards};
  const observers = new Set<(version: number) => void>();
  let store = createItemStore();
  let answers = createAnswerTable(undefined, safeguards);
  let changes: Change[] = [];
  let version = 0;
  /** The version of the last change that an operator made. */
  let operatorVersion = 0;
  let applied = 0;
  let frozen: Configuration | undefined;
  let digested: {index: number; digest: string} | undefined;

  function apply(index: number, bytes: Uint8Array): Uint8Array {
    applied = index;
    const entry = decodeEntry(bytes);
    const answer = entry === undefined ? answerInvalid() : run(index, entry);
    return encodeAnswer(answer);
  }

  function answerInvalid(): Answer {
    const message = 'the entry is not a command; nothing was changed';
    return {code: codes.invalidEntry.number, message, version};
  }

  function run(index: number, entry: Entry): Answer {
    const {command} = entry;
    const first = safeguards.answers
      ? answers.find(command, version)
      : undefined;
    if (first !== undefined) return first;
    const before = version;
    const answer = change(index, entry);
    answers.record(command, answer, entry.bounds);
    if (version !== before) notify();
    return answer;
  }

  function change(index: number, {command, time, bounds}: Entry): Answer {
    const expected = command.expectedVersion;
    if (expected !== undefined && !isExpected(command, expected)) {
      return answerConflict(expected);
    }
    const edited = editStore(store, command, bounds, safeguards.validation);
    if (!edited.ok) {
      return {code: edited.code.number, message: edited.message, version};
    }
    if (edited.value.length === 0) return accept('nothing to change');
    version = index;
    if (!isAppointer(command.operator)) operatorVersion = index;
    frozen = undefined;
    changes.push(describeChange(command, version, time));
    changes = changes.slice(-bounds.history);
    return accept('accepted');
  }

  /**
   * Keepers are appointed hundreds of times a day at the size designed for. An
   * operator who saw the version before such a change has seen all that any
   * operator did, and would be refused for a race that nobody ran. Of two
   * operators who saw one version the first to be applied still wins alone.
   */
  function isExpected({operator}: Command, expected: number): boolean {
    if (isAppointer(operator)) return expected === version;
    return expected >= operatorVersion && expected <= version;
  }

  function accept(message: string): Answer {
    return {code: commonCodes.ok.number, message, version};
  }

  function answerConflict(expected: number): Answer {
    const winner = changes.findLast(({operator}) => !isAppointer(operator));
    const by = winner && ` by ${winner.operator}/${winner.sequence}`;
    const last = operatorVersion || version;
    const message = `version ${last}${by ?? ''} is in force, not ${expected}`;
    return {code: codes.conflict.number, message, version: last};
  }

  function notify(): void {
    for (const observe of observers) observe(version);
  }

  function whole(): WholeState {
    return {
      format: 1,
      version,
      operatorVersion,
      services: store.sorted('service') as Service[],
      policies: store.sorted('policy') as Policy[],
      routes: store.sorted('route') as Route[],
      drains: store.sorted('drain') as Drain[],
      answers: answers.state(),
      history: changes,
    };
  }

  function restore(index: number, bytes: Uint8Array): void {
    const state = decodeState(bytes);
    const items = fillStore(state);
    const table = createAnswerTable(state.answers, safeguards);
    store = items;
    answers = table;
    changes = [...state.history];
    version = state.version;
    operatorVersion = state.operatorVersion;
    applied = index;
    frozen = undefined;
    digested = undefined;
    notify();
  }

  return new (class extends ConfigurationMachine {
    apply = apply;
    restore = restore;

    snapshot(): Uint8Array {
      return encodeState(whole());
    }

    prepare(command: Command, time: number): Uint8Array {
      return encodeEntry({command, time, bounds});
    }

    current(): Configuration {
      frozen ??= store.freeze(version);
      return frozen;
    }

    onChange(observe: (version: number) => void): void {
      observers.add(observe);
    }

    history(): readonly Change[] {
      return [...changes].reverse();
    }

    digest(): string {
      if (digested?.index !== applied) {
        digested = {index: applied, digest: digestState(encodeState(whole()))};
      }
      return digested.digest;
    }

    appliedIndex(): number {
      return applied;
    }
  })();
}

function fillStore(state: WholeState): ItemStore {
  const store = createItemStore();
  const lists: Record<Kind, readonly Value[]> = {
    service: state.services,
    policy: state.policies,
    route: state.routes,
    drain: state.drains,
  };
  for (const [kind, values] of Object.entries(lists) as [Kind, Value[]][]) {
    for (const value of values) store.replace({kind, name: value.name}, value);
  }
  return store;
}
