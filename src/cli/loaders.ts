import type {
  ControlSettings,
  NodeSettings,
  RelaySettings,
  Settings,
} from '../settings/schema.js';

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
  control: async () => {
    const {runControl} = await import('../control/run.js');
    return settings => runControl(settings as ControlSettings);
  },
  relay: async () => {
    const {runRelay} = await import('../relay/run.js');
    return settings => runRelay(settings as RelaySettings);
  },
  node: async () => {
    const {runNode} = await import('../node/run.js');
    return settings => runNode(settings as NodeSettings);
  },
  operator: async () =>
    (await import('./operator-command.js')).runOperatorCommand,
  report: async () => (await import('../burn/command.js')).runReportCommand,
};
