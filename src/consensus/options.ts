import type {Disk} from '../disk/disk.js';
import type {Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Failure} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import type {Member, StateMachine} from './consensus.js';
import {allSafeguards} from './core-state.js';
import type {Safeguards} from './core-state.js';

/** What a member of the control group is made of. */
export interface ConsensusOptions {
  readonly self: Member;
  /** The first members; a formed group's own membership goes before it. */
  readonly members: readonly Member[];
  readonly disk: Disk;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  readonly machine: StateMachine;
  /** Milliseconds between a leader's heartbeats. */
  readonly heartbeat: number;
  /** Least milliseconds without a leader before an election. */
  readonly electionTimeout: number;
  /** Entries after which a snapshot takes the place of the log. */
  readonly snapshotEntries: number;
  /** Largest change in bytes; default 1 MiB. */
  readonly entryLimit?: number;
  /** Most changes that may wait for a majority; default 4096. */
  readonly openLimit?: number;
  /** Most bytes of changes that may wait for a majority; default 32 MiB. */
  readonly openBytesLimit?: number;
  /**
   * Called once when the disk fails: the member has stopped and the process
   * should end with the failure's code.
   */
  readonly onFailure?: (failure: Failure) => void;
  /** Whether changes that wait share one sync; off only to measure it. */
  readonly groupCommit?: boolean;
  /** Takes out protections; for tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** The options with their defaults. */
export interface ResolvedOptions extends ConsensusOptions {
  readonly entryLimit: number;
  readonly openLimit: number;
  readonly openBytesLimit: number;
  readonly groupCommit: boolean;
  readonly safeguards: Safeguards;
}

const defaultEntryLimit = 1024 * 1024;
const defaultOpenLimit = 4096;
const defaultOpenBytesLimit = 32 * 1024 * 1024;

/** Completes the options with their defaults. */
export function resolveOptions(options: ConsensusOptions): ResolvedOptions {
  return {
    ...options,
    entryLimit: options.entryLimit ?? defaultEntryLimit,
    openLimit: options.openLimit ?? defaultOpenLimit,
    openBytesLimit: options.openBytesLimit ?? defaultOpenBytesLimit,
    groupCommit: options.groupCommit ?? true,
    safeguards: {...allSafeguards, ...options.safeguards},
  };
}
