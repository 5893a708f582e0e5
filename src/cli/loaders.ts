import type {Settings} from '../settings/schema.js';

/** A role's process once it takes work. */
export interface RunningRole {
  /**
   * The planned stop: takes no new work, ends what is in flight, and resolves.
   * What still runs after `deadline` milliseconds is cut.
   */
  stop(deadline: number): Promise<void>;
}

/** Starts a role; resolves once it takes work. */
export type RunRole = (settings: Settings) => Promise<RunningRole>;

/** Runs one operator command; resolves with the exit code. */
export type RunOperatorCommand = (args: readonly string[]) => Promise<number>;

/**
 * What `main` runs, each loaded when it is first needed, so that a node holds
 * none of control's libraries in memory.
 */
export interface Loaders {
  readonly control: () => Promise<RunRole>;
  readonly relay: () => Promise<RunRole>;
  readonly node: () => Promise<RunRole>;
  readonly operator: () => Promise<RunOperatorCommand>;
  readonly report: () => Promise<RunOperatorCommand>;
}

/** The parts of this program. */
export const loaders: Loaders = {
  control: () => load('../control/run.js', 'runControl'),
  relay: () => load('../relay/run.js', 'runRelay'),
  node: () => load('../node/run.js', 'runNode'),
  operator: () => load('./operator-command.js', 'runOperatorCommand'),
  report: () => load('../burn/command.js', 'runReportCommand'),
};

async function load<T>(module: string, name: string): Promise<T> {
  const loaded = (await import(module)) as Record<string, T>;
  return loaded[name]!;
}
