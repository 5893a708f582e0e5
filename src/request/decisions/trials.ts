/** Which quarantined requests one life of an instance may run. */
import type {Quarantine} from '../../configuration/configuration.js';

/** The trials of one life of an instance. */
export interface Trials {
  /** Whether a request in this quarantine may start here now. */
  allows(quarantine: Quarantine): boolean;
  /** One starts; a trial is over with its first start, however it ends. */
  began(quarantine: Quarantine): void;
}

/** Creates the trials of a life; one without a name gets none. */
export function createTrials(life: string | undefined): Trials {
  const begun = new Set<string>();

  const keyOf = ({name, trials}: Quarantine) => `${name} ${trials}`;

  return {
    allows: quarantine => {
      const {state, trialAt} = quarantine;
      if (state === 'watched') return true;
      if (state === 'held' || life === undefined) return false;
      return trialAt === life && !begun.has(keyOf(quarantine));
    },
    began: quarantine => void begun.add(keyOf(quarantine)),
  };
}
