/** Decides which quarantined requests an incarnation may run. */
import type {Quarantine} from '../../configuration/configuration.js';

/** The trials of one incarnation of an instance. */
export interface Trials {
  /** Whether a request in this quarantine may start here now. */
  allows(quarantine: Quarantine): boolean;
  /** Records a start; a trial may be started once, whatever its result is. */
  began(quarantine: Quarantine): void;
}

/** Creates the trials of an incarnation; none is allowed if it is undefined. */
export function createTrials(life: string | undefined): Trials {
  const startedTrials = new Set<string>();

  const keyOf = ({name, trials}: Quarantine) => `${name} ${trials}`;

  return {
    allows: quarantine => {
      const {state, trialAt} = quarantine;
      if (state === 'watched') return true;
      if (state === 'held' || life === undefined) return false;
      return trialAt === life && !startedTrials.has(keyOf(quarantine));
    },
    began: quarantine => void startedTrials.add(keyOf(quarantine)),
  };
}
