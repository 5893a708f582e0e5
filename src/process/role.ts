import type {Settings} from '../settings/schema.js';

/** A role that has started and accepts work. */
export interface RunningRole {
  /**
   * Performs a planned stop (graceful shutdown): accepts no new work, completes
   * the work in flight, and resolves. Work that still runs after `deadline`
   * milliseconds is aborted.
   */
  stop(deadline: number): Promise<void>;
  /** Applies changed settings at run time; absent if a change requires a restart. */
  reload?(settings: Settings): void;
}

/** Starts a role; resolves once it accepts work. */
export type RunRole = (settings: Settings) => Promise<RunningRole>;
