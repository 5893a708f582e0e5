/** What one entry knows of the instances that it may send work to. */
import type {Configuration} from '../configuration/configuration.js';
import type {Announcement, EndpointView} from '../endpoints/messages.js';
import type {Timers} from '../time/timers.js';
import type {Fields, Log} from '../log/log.js';
import {preferLocal} from './balancer.js';
import type {Balancer, Candidate} from './balancer.js';
import {requestCodes} from './codes.js';
import type {Code} from '../result/code.js';
import {createEjection} from './ejection.js';
import type {EjectionOptions} from './ejection.js';
import {createRetryBudget} from './retry-budget.js';
import type {RetryBudget, RetryBudgetOptions} from './retry-budget.js';
import {slowStartWeight} from './slow-start.js';

/** Options of `createPeers`; times in milliseconds. */
export interface PeersOptions {
  readonly failureDomain: string;
  readonly endpoints: EndpointView;
  readonly balancer: Balancer;
  readonly timers: Timers;
  readonly log: Log;
  /** Busyness up to which the own failure domain goes first; 0.7 unless given. */
  readonly localLimit?: number;
  /** Time in which the word on a load loses most of its worth; 10000 unless given. */
  readonly loadAge?: number;
  /** How long an instance that refused as leaving is passed by; 2000 unless given. */
  readonly leavingPause?: number;
  readonly ejection?: Omit<EjectionOptions, 'clock' | 'log'>;
  readonly retryBudget?: RetryBudgetOptions;
  /** Hears of each instance whose gate took no connection. */
  readonly onUnreachable?: (announcement: Announcement) => void;
}

/** An instance chosen for one attempt. */
export interface Peer {
  readonly announcement: Announcement;
  /** What is known of it now, for the log. */
  known(): Fields;
  /** An attempt begins; each is followed by one `ended`. */
  began(): void;
  /** An attempt ended with an answer (undefined) or a refusal's code. */
  ended(code: Code | undefined, status: number): void;
  /** The gate told its load, work over slots. */
  loaded(load: number): void;
}

/** The instances that an entry may send work to. */
export interface Peers {
  /** Chooses an instance, not one of `tried` if another is left. */
  choose(
    service: string,
    configuration: Configuration,
    tried: ReadonlySet<string>,
  ): Peer | undefined;
  /** The retry budget towards a service. */
  budget(service: string): RetryBudget;
}

const defaults = {localLimit: 0.7, loadAge: 10_000, leavingPause: 2_000};

/** Refusals that speak of an instance's own fault. */
const faults: ReadonlySet<Code> = new Set([
  requestCodes.upstreamUnreachable,
  requestCodes.upstreamLost,
  requestCodes.gateUnreachable,
  requestCodes.gateLost,
  requestCodes.deadlinePassed,
  requestCodes.answerUnframed,
  requestCodes.noConfiguration,
]);

/** Refusals by an instance that takes no more work. */
const leaving: ReadonlySet<Code> = new Set([
  requestCodes.draining,
  requestCodes.stopping,
  requestCodes.wrongInstance,
]);

const firstServerError = 500;
/** What one failure counts for, as work over slots. */
const blameStep = 2;

/** Creates the peers of an entry. */
export function createPeers(options: PeersOptions): Peers {
  const {endpoints, timers, balancer} = options;
  const limits = {...defaults, ...options};
  const ejection = createEjection({
    ...options.ejection,
    clock: timers,
    log: options.log,
  });
  const budgets = new Map<string, RetryBudget>();
  const services = new Map<string, Map<string, Known>>();

  endpoints.onChange(service => {
    const known = services.get(service);
    if (known !== undefined) refresh(service, known);
  });

  function statesOf(service: string): Map<string, Known> {
    let known = services.get(service);
    if (known === undefined) {
      known = new Map();
      services.set(service, known);
      refresh(service, known);
    }
    return known;
  }

  function refresh(service: string, known: Map<string, Known>): void {
    const present = new Set<string>();
    for (const announcement of endpoints.instances(service)) {
      const {instance, incarnation} = announcement;
      present.add(instance);
      const old = known.get(instance);
      if (old === undefined) {
        known.set(instance, createKnown(announcement));
        continue;
      }
      // A new life of an instance does not answer for its last one.
      if (old.announcement.incarnation !== incarnation) {
        ejection.forget(instance);
        old.pausedUntil = 0;
        old.blame = 0;
      }
      old.announcement = announcement;
    }
    for (const instance of known.keys()) {
      if (present.has(instance)) continue;
      known.delete(instance);
      ejection.forget(instance);
    }
  }

  function createKnown(announcement: Announcement): Known {
    const known: Known = {
      announcement,
      outstanding: 0,
      reported: 0,
      reportedAt: 0,
      blame: 0,
      blamedAt: 0,
      pausedUntil: 0,
      peer: {
        get announcement() {
          return known.announcement;
        },
        known: () => describe(known),
        began: () => void known.outstanding++,
        ended: (code, status) => {
          known.outstanding--;
          judge(known, code, status);
        },
        loaded: load => {
          known.reported = load;
          known.reportedAt = timers.now();
        },
      },
    };
    return known;
  }

  function describe(known: Known): Fields {
    const {announcement, reported, reportedAt, outstanding} = known;
    return {
      outstanding,
      load: reported,
      // Before the first word there is no age.
      ...(reportedAt > 0 && {loadAge: Math.round(timers.now() - reportedAt)}),
      blame: round(agedBlame(known)),
      state: announcement.state,
      stateAge: Math.round(timers.wall() - announcement.since),
    };
  }

  function judge(known: Known, code: Code | undefined, status: number): void {
    if (code === undefined) {
      if (status >= firstServerError) blame(known);
      else praise(known);
      return;
    }
    if (faults.has(code)) blame(known);
    if (code === requestCodes.gateUnreachable) {
      options.onUnreachable?.(known.announcement);
    }
    if (leaving.has(code)) {
      // Its announcement is on its way; until then its own word counts.
      known.pausedUntil = timers.now() + limits.leavingPause;
    }
  }

  function praise(known: Known): void {
    known.blame = 0;
    ejection.succeeded(known.announcement.instance);
  }

  /**
   * An instance that fails at once looks idle and would draw all work to it,
   * most of all where each entry sends too little to eject it soon. A failure
   * therefore counts as load until the instance does better.
   */
  function blame(known: Known): void {
    ejection.failed(known.announcement.instance);
    known.blame = agedBlame(known) + blameStep;
    known.blamedAt = timers.now();
  }

  function agedBlame(known: Known): number {
    const quiet = timers.now() - known.blamedAt;
    return known.blame * Math.exp(-quiet / limits.loadAge);
  }

  function isOpen(known: Known, configuration: Configuration): boolean {
    const {state, instance} = known.announcement;
    if (state !== 'serving' && state !== 'warming') return false;
    if (known.pausedUntil > timers.now()) return false;
    return !configuration.drains.has(instance);
  }

  function candidateOf(known: Known, slowStart: number): PeerCandidate {
    const {announcement} = known;
    const age = timers.wall() - announcement.since;
    const quiet = timers.now() - known.reportedAt;
    return {
      instance: announcement.instance,
      slots: Math.max(1, announcement.slots),
      outstanding: known.outstanding,
      load:
        known.reported * Math.exp(-quiet / limits.loadAge) + agedBlame(known),
      weight: slowStartWeight(age, slowStart),
      local: announcement.failureDomain === options.failureDomain,
      peer: known.peer,
    };
  }

  return {
    choose: (service, configuration, tried) => {
      const open = [...statesOf(service).values()].filter(known =>
        isOpen(known, configuration),
      );
      const untried = open.filter(
        known => !tried.has(known.announcement.instance),
      );
      const usable = untried.length > 0 ? untried : open;
      if (usable.length === 0) return undefined;
      const names = usable.map(known => known.announcement.instance);
      const allowed = ejection.allowed(names);
      const slowStart = configuration.services.get(service)?.slowStart ?? 0;
      const candidates = usable
        .filter(known => allowed.has(known.announcement.instance))
        .map(known => candidateOf(known, slowStart));
      const chosen = preferLocal(candidates, limits.localLimit);
      return balancer.choose(chosen).peer;
    },
    budget: service => {
      let budget = budgets.get(service);
      if (budget === undefined) {
        budget = createRetryBudget(options.retryBudget);
        budgets.set(service, budget);
      }
      return budget;
    },
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

interface PeerCandidate extends Candidate {
  readonly peer: Peer;
}

interface Known {
  announcement: Announcement;
  outstanding: number;
  /** The load that its gate told last, and when. */
  reported: number;
  reportedAt: number;
  /** Load that its failures count for, and when the last was. */
  blame: number;
  blamedAt: number;
  /** It refused as leaving; passed by until then. */
  pausedUntil: number;
  readonly peer: Peer;
}
