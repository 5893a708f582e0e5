/**
 * Quarantine at a gate: refuses quarantined requests, runs each trial once, and
 * reports which requests were running when the upstream crashed and which
 * quarantined requests were answered.
 */
import type {Configuration} from '../../configuration/configuration.js';
import type {Suspect} from '../../quarantine/messages.js';
import type {Timers} from '../../time/timers.js';
import type {Call, Refusal} from '../messages/call.js';
import {quarantineRefusal} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';
import {createCrashDetector} from './crash-detector.js';
import {createQuarantines} from './quarantines.js';
import {suspectsOf} from './request-digest.js';
import {createTrials} from './trials.js';

/** Options of `createGateQuarantine`. */
export interface GateQuarantineOptions {
  /** The configuration in force; undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  /** Incarnation that trials are assigned to; no trials run if absent. */
  readonly life?: string | undefined;
  /** Whether a process listens at the upstream's address; true by default. */
  readonly isListening?: (() => Promise<boolean>) | undefined;
  /** Called with the requests that were running when the upstream crashed. */
  readonly onCrash?: ((suspects: readonly Suspect[]) => void) | undefined;
  /** Called with the name of each quarantined request that was answered. */
  readonly onCleared?: ((request: string) => void) | undefined;
  readonly timers: Timers;
  readonly safeguards: Pick<Safeguards, 'quarantine'>;
}

/** Quarantine at one gate. */
export interface GateQuarantine {
  /** Whether a call may be quarantined, judged by its head. */
  mayMatch(call: Call): boolean;
  /** The refusal if the call must not run here. */
  refusalFor(call: Call): Refusal | undefined;
  /** Records the start of the call; a trial can't be started again. */
  started(call: Call): void;
  /** Records that the upstream gave a complete answer. */
  answered(call: Call): void;
  /** Records that the connection to the upstream failed during the call. */
  lost(call: Call): void;
}

/** Creates the quarantine of a gate for one incarnation of its upstream. */
export function createGateQuarantine(
  options: GateQuarantineOptions,
): GateQuarantine {
  const {timers, safeguards} = options;
  const trials = createTrials(options.life);
  const quarantines = createQuarantines(options.configuration, safeguards);
  /**
   * Trials that were not answered. A trial whose caller has disconnected is not
   * running any more when the instance crashes. It is still reported, because
   * it would otherwise get another trial at another instance.
   */
  const unanswered = new Set<Call>();
  const crashes = createCrashDetector({
    timers,
    isListening: options.isListening ?? (() => Promise.resolve(true)),
    onCrash: calls => {
      options.onCrash?.(suspectsOf([...new Set([...calls, ...unanswered])]));
    },
  });

  return {
    mayMatch: quarantines.mayMatch,
    refusalFor: call => {
      const quarantine = quarantines.find(call);
      const isAllowed = quarantine === undefined || trials.allows(quarantine);
      return isAllowed ? undefined : quarantineRefusal(quarantine.name);
    },
    started: call => {
      const quarantine = quarantines.find(call);
      if (quarantine?.state !== 'on-trial') return;
      trials.began(quarantine);
      unanswered.add(call);
    },
    answered: call => {
      unanswered.delete(call);
      const quarantine = quarantines.find(call);
      if (quarantine !== undefined) options.onCleared?.(quarantine.name);
    },
    lost: crashes.lost,
  };
}
