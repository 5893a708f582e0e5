import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Action} from './core-state.js';
import type {Proposal} from './core.js';

/** Changes on their way, from the call until their answer. */
export interface Proposals {
  /** How many wait for their answer. */
  readonly count: number;
  /** Bytes of the changes that wait. */
  readonly bytes: number;
  /** Registers a change; it leaves with the next `take`. */
  add(data: Uint8Array): Promise<Result<Uint8Array>>;
  /** The changes that were added since the last call. */
  take(): Proposal[];
  onProposed(action: Action & {kind: 'proposed'}): void;
  onApplied(index: number, answer: Uint8Array): void;
  /** The entries up to here were taken over whole, without their answers. */
  onRestored(index: number): void;
  /** Ends those not yet handed over: they never ran. */
  refuse(result: Result<never>): void;
  /** Ends all: those handed over may or may not be kept. */
  abandon(): void;
}

type Settle = (result: Result<Uint8Array>) => void;

/** Creates the register of open changes. */
export function createProposals(): Proposals {
  const added = new Map<number, {data: Uint8Array; settle: Settle}>();
  const handed = new Map<number, Settle>();
  const placed = new Map<number, Settle>();
  let nextId = 1;
  let bytes = 0;

  const unknown = () =>
    failure(
      consensusCodes.outcomeUnknown,
      'leadership ended before the change was known to be kept; resend the same command',
    );

  return {
    get count() {
      return added.size + handed.size + placed.size;
    },
    get bytes() {
      return bytes;
    },
    add(data) {
      bytes += data.length;
      return new Promise(resolve => {
        const settle = (result: Result<Uint8Array>) => {
          bytes -= data.length;
          resolve(result);
        };
        added.set(nextId++, {data, settle});
      });
    },
    take() {
      const proposals: Proposal[] = [];
      for (const [id, {data, settle}] of added) {
        proposals.push({id, data});
        handed.set(id, settle);
      }
      added.clear();
      return proposals;
    },
    onProposed({id, index}) {
      const settle = handed.get(id)!;
      handed.delete(id);
      placed.set(index, settle);
    },
    onApplied(index, answer) {
      const settle = placed.get(index);
      placed.delete(index);
      settle?.(success(answer));
    },
    onRestored(index) {
      for (const [at, settle] of placed) {
        if (at > index) continue;
        placed.delete(at);
        settle(unknown());
      }
    },
    refuse(result) {
      for (const {settle} of added.values()) settle(result);
      added.clear();
    },
    abandon() {
      for (const {settle} of added.values()) settle(unknown());
      for (const settle of handed.values()) settle(unknown());
      for (const settle of placed.values()) settle(unknown());
      added.clear();
      handed.clear();
      placed.clear();
    },
  };
}
