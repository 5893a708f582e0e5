import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Action} from './core-state.js';
import type {Proposal} from './core.js';
import type {Entry} from './messages.js';

/** Changes between the call of `propose` and its result. */
export interface Proposals {
  /** Number of changes that wait for their result. */
  readonly count: number;
  /** Total size of these changes in bytes. */
  readonly bytes: number;
  /** Registers a change; the next `take` returns it. */
  add(data: Uint8Array): Promise<Result<Uint8Array>>;
  /** Returns the changes that were added since the last call. */
  take(): Proposal[];
  onProposed(action: Action & {kind: 'proposed'}): void;
  /** Answers the change of an entry that was applied. */
  onApplied(entry: EntryPosition, answer: Uint8Array): void;
  /**
   * A snapshot replaced the entries up to `index`, so their results are
   * unknown.
   */
  onRestored(index: number): void;
  /**
   * Fails the changes that `take` has not returned; they were never proposed.
   */
  refuse(result: Result<never>): void;
  /**
   * Fails all changes as unknown: those already proposed may still be
   * committed.
   */
  abandon(): void;
}

/** Identifies an entry: another leader's may take the same index. */
type EntryPosition = Pick<Entry, 'index' | 'term'>;

interface AppendedProposal {
  readonly term: number;
  readonly settle: Settle;
}

type Settle = (result: Result<Uint8Array>) => void;

/** Creates the register of pending changes. */
export function createProposals(): Proposals {
  const queued = new Map<number, {data: Uint8Array; settle: Settle}>();
  const submitted = new Map<number, Settle>();
  const appended = new Map<number, AppendedProposal>();
  let nextId = 1;
  let bytes = 0;

  const outcomeUnknown = () =>
    failure(
      consensusCodes.outcomeUnknown,
      'leadership ended before the change was known to be committed; resend the same command',
    );

  return {
    get count() {
      return queued.size + submitted.size + appended.size;
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
        queued.set(nextId++, {data, settle});
      });
    },
    take() {
      const proposals: Proposal[] = [];
      for (const [id, {data, settle}] of queued) {
        proposals.push({id, data});
        submitted.set(id, settle);
      }
      queued.clear();
      return proposals;
    },
    onProposed({id, index, term}) {
      const settle = submitted.get(id)!;
      submitted.delete(id);
      appended.set(index, {term, settle});
    },
    onApplied({index, term}, answer) {
      const proposal = appended.get(index);
      appended.delete(index);
      const isSame = proposal?.term === term;
      proposal?.settle(isSame ? success(answer) : outcomeUnknown());
    },
    onRestored(index) {
      for (const [entryIndex, {settle}] of appended) {
        if (entryIndex > index) continue;
        appended.delete(entryIndex);
        settle(outcomeUnknown());
      }
    },
    refuse(result) {
      for (const {settle} of queued.values()) settle(result);
      queued.clear();
    },
    abandon() {
      for (const {settle} of queued.values()) settle(outcomeUnknown());
      for (const settle of submitted.values()) settle(outcomeUnknown());
      for (const {settle} of appended.values()) settle(outcomeUnknown());
      queued.clear();
      submitted.clear();
      appended.clear();
    },
  };
}
