import type {Item, Kind} from './configuration.js';

/** One step of a change. */
export type Edit =
  | {readonly action: 'put'; readonly item: Item}
  | {readonly action: 'remove'; readonly kind: Kind; readonly name: string};

/**
 * An operator's change: all of its edits or none. `operator` and `sequence`
 * name it, so that a resend gets the first answer.
 */
export interface Command {
  readonly operator: string;
  /** Rises by each command of one operator. */
  readonly sequence: number;
  /**
   * The version the operator saw; absent to change whatever is in force. It is
   * a conflict when another operator's change came after it.
   */
  readonly expectedVersion?: number;
  readonly edits: readonly Edit[];
}

/** The answer to a command; the same for each resend of it. */
export interface Answer {
  /** The number of a result code; 1000 when it was accepted. */
  readonly code: number;
  readonly message: string;
  /**
   * The version it made, or the one in force when it was refused; for a
   * conflict the version of the operator's change that came first.
   */
  readonly version: number;
  /** When the sequence can't be used: the highest one taken; use those above. */
  readonly highest?: number;
}
