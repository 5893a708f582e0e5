import type {Settings} from '../settings/schema.js';

/** A role's process once it takes work. */
export interface RunningRole {
  /**
   * The planned stop: takes no new work, ends what is in flight, and resolves.
   * What still runs after `deadline` milliseconds is cut.
   */
  stop(deadline: number): Promise<void>;
  /** Takes settings that were changed while it runs; absent to need a restart. */
  reload?(settings: Settings): void;
}

/** Starts a role; resolves once it takes work. */
export type RunRole = (settings: Settings) => Promise<RunningRole>;
