/**
 * What an entry has heard of the state that instances report. It is kept for
 * some time after an instance has disappeared: the node beside it may restart
 * while the instance keeps running, and then only entries know the state.
 */
import type {Clock} from '../../time/clock.js';
import type {ReportedState} from '../messages/reported-state.js';

/** The reported states that one entry knows, by instance. */
export interface ReportMemory {
  /** The last state; undefined if there is none or it is too old. */
  get(instance: string): ReportedState | undefined;
  /**
   * How often an instance should be considered, 1 if it names no limit. An old
   * share fades, since an instance that is not chosen cannot report another.
   */
  share(instance: string): number;
  /** Stores what a gate told; undefined if the instance reports nothing. */
  set(instance: string, state: ReportedState | undefined): void;
}

/**
 * Milliseconds for which a state is kept after it was last heard; an instance
 * that shuts down may take minutes.
 */
const maxAge = 600_000;

/** Time constant in milliseconds with which a share fades. */
const shareAge = 10_000;

interface HeardState {
  readonly state: ReportedState;
  readonly heardAt: number;
}

/** Creates an empty memory. */
export function createReportMemory(clock: Clock): ReportMemory {
  const heard = new Map<string, HeardState>();

  function removeOld(): void {
    const oldest = clock.now() - maxAge;
    for (const [instance, {heardAt}] of heard) {
      if (heardAt < oldest) heard.delete(instance);
    }
  }

  return {
    get(instance) {
      if (heard.size === 0) return undefined;
      const found = heard.get(instance);
      if (found === undefined) return undefined;
      return clock.now() - found.heardAt > maxAge ? undefined : found.state;
    },
    share(instance) {
      if (heard.size === 0) return 1;
      const found = heard.get(instance);
      if (found?.state.share === undefined) return 1;
      const age = clock.now() - found.heardAt;
      return 1 - (1 - found.state.share) * Math.exp(-age / shareAge);
    },
    set(instance, state) {
      if (state === undefined) return void heard.delete(instance);
      if (!heard.has(instance)) removeOld();
      heard.set(instance, {state, heardAt: clock.now()});
    },
  };
}
