/**
 * A gate's part in quarantines: it refuses what is held, runs a trial once, and
 * tells which requests ran when its upstream crashed and which were answered.
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
  /** The configuration in force, undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  /** This life of the instance, as a trial names it; without it none runs. */
  readonly life?: string | undefined;
  /** Whether anything listens at the upstream's address; true unless given. */
  readonly isListening?: (() => Promise<boolean>) | undefined;
  /** Hears of requests that run when the upstream ends by itself. */
  readonly onCrash?: ((suspects: readonly Suspect[]) => void) | undefined;
  /** Hears of each quarantined request that the upstream answered, by name. */
  readonly onCleared?: ((request: string) => void) | undefined;
  readonly timers: Timers;
  readonly safeguards: Pick<Safeguards, 'quarantine'>;
}

/** A gate's part in quarantines. */
export interface GateQuarantine {
  /** Why the call must not run here; undefined when it may. */
  refusalFor(call: Call): Refusal | undefined;
  /** The call starts; if it is on trial, that is over with this. */
  started(call: Call): void;
  /** The upstream gave its own whole answer. */
  answered(call: Call): void;
  /** The upstream broke off while it ran the call. */
  lost(call: Call): void;
}

/** Creates the part of the gate before one life of an upstream. */
export function createGateQuarantine(
  options: GateQuarantineOptions,
): GateQuarantine {
  const {timers, safeguards} = options;
  const trials = createTrials(options.life);
  const quarantines = createQuarantines(options.configuration, safeguards);
  /**
   * Trials without an answer. One whose caller left runs no more when the
   * instance ends; told as untried, it would get another trial elsewhere.
   */
  const tried = new Set<Call>();
  const crashes = createCrashDetector({
    timers,
    isListening: options.isListening ?? (() => Promise.resolve(true)),
    onCrash: calls => {
      options.onCrash?.(suspectsOf([...new Set([...calls, ...tried])]));
    },
  });

  return {
    refusalFor: call => {
      const quarantine = quarantines.find(call);
      const isFree = quarantine === undefined || trials.allows(quarantine);
      return isFree ? undefined : quarantineRefusal(quarantine.name);
    },
    started: call => {
      const quarantine = quarantines.find(call);
      if (quarantine?.state !== 'on-trial') return;
      trials.began(quarantine);
      tried.add(call);
    },
    answered: call => {
      tried.delete(call);
      const quarantine = quarantines.find(call);
      if (quarantine !== undefined) options.onCleared?.(quarantine.name);
    },
    lost: crashes.lost,
  };
}
