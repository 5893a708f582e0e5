import type {Kind} from '../configuration/configuration.js';
import type {Edit} from '../configuration/messages.js';
import type {Member} from '../consensus/consensus.js';

/** Id of a command; a resend with the same id gets the first answer. */
export interface CommandId {
  readonly operator: string;
  readonly sequence: number;
}

/** The `as` and `expect` prefixes of a change. */
export interface Prefix {
  readonly id?: CommandId;
  readonly expectedVersion?: number;
}

/** A parsed command of the operators' language. */
export type Statement =
  | ({readonly kind: 'change'; readonly edits: readonly Edit[]} & Prefix)
  | ({readonly kind: 'apply'; readonly file: string} & Prefix)
  | {readonly kind: 'show'; readonly items: Kind; readonly name?: string}
  | {readonly kind: 'show-in-force'}
  | {readonly kind: 'show-control'}
  | {readonly kind: 'history'; readonly count: number}
  | {readonly kind: 'wait'; readonly version: number; readonly within: number}
  | {
      readonly kind: 'replace';
      readonly leaving: string;
      readonly joining: Member;
    }
  | {readonly kind: 'accept-loss'; readonly service: string}
  | {readonly kind: 'help'};
