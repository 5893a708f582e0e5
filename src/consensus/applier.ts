import type {StateMachine} from './consensus.js';
import type {CoreState} from './core-state.js';
import type {Snapshot} from './messages.js';
import type {Proposals} from './proposals.js';
import type {WriterJob} from './writer.js';

/** Applies committed entries to the state machine and takes snapshots. */
export interface Applier {
  /** Index of the last entry applied. */
  readonly index: number;
  /** Applies entries up to `index`. */
  apply(index: number): void;
  /** Replaces the state by that of a snapshot. */
  restore(snapshot: Snapshot): void;
  /** Called when the snapshot that is being saved is durable. */
  onSnapshotSaved(): void;
  observe(observer: (index: number) => void): void;
}

/** Options of createApplier. */
export interface ApplierOptions {
  readonly state: Readonly<CoreState>;
  readonly machine: StateMachine;
  readonly proposals: Proposals;
  readonly snapshotEntries: number;
  /** Queues a snapshot for the writer. */
  readonly save: (job: WriterJob) => void;
}

/** Creates the applier of a member. */
export function createApplier(options: ApplierOptions): Applier {
  const {state, machine, proposals, snapshotEntries, save} = options;
  const observers: Array<(index: number) => void> = [];
  let applied = 0;
  let isSaving = false;

  function notify(): void {
    for (const observer of observers) observer(applied);
  }

  function applyNext(): void {
    const entry = state.log.entry(applied + 1)!;
    applied++;
    if (entry.kind === 'command') {
      const answer = machine.apply(entry.index, entry.data);
      proposals.onApplied(entry, answer);
    }
    notify();
  }

  function takeSnapshot(): void {
    if (isSaving || applied - state.snapshot.index < snapshotEntries) return;
    isSaving = true;
    const snapshot: Snapshot = {
      index: applied,
      term: state.log.termAt(applied)!,
      membership: state.log.membershipAt(applied),
      data: machine.snapshot(),
    };
    // Recent entries are kept so that a follower slightly behind needs no
    // snapshot.
    const keepAfter = Math.max(state.log.baseIndex, applied - snapshotEntries);
    const keepAfterTerm = state.log.termAt(keepAfter)!;
    save({kind: 'save-snapshot', snapshot, keepAfter, keepAfterTerm});
  }

  return {
    get index() {
      return applied;
    },
    apply(index) {
      while (applied < index) applyNext();
      takeSnapshot();
    },
    restore(snapshot) {
      if (snapshot.index > 0) machine.restore(snapshot.index, snapshot.data);
      applied = snapshot.index;
      proposals.onRestored(applied);
      notify();
    },
    onSnapshotSaved() {
      isSaving = false;
    },
    observe: observer => void observers.push(observer),
  };
}
