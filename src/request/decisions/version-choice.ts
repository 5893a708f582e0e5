/**
 * Chooses the version of a service that gets a request, before an instance is
 * chosen. Shares are kept by counting, not by chance, so that a small share does
 * not vary.
 */
import murmurhash from 'murmurhash';
import {isUnderWay} from '../../configuration/configuration.js';
import type {
  Configuration,
  Rollout,
} from '../../configuration/configuration.js';
import type {Announcement, EndpointView} from '../../endpoints/messages.js';
import type {Random} from '../../random/random.js';
import type {Code} from '../../result/code.js';
import type {VersionRole} from '../../rollouts/messages.js';
import type {OutcomeKind, OutcomeRecorder} from '../../rollouts/recorder.js';
import {isStableVersion, isTargetVersion} from '../../rollouts/versions.js';
import {requestCodes} from '../messages/codes.js';
import {firstServerError} from '../messages/status.js';
import type {PooledInstance} from './instance-pool.js';

/** The instances that a request may be sent to. */
export interface VersionChoice {
  readonly role: VersionRole;
  readonly rollout: Rollout;
  isAllowed(announcement: Announcement): boolean;
}

/** Options of `createVersionChooser`. */
export interface VersionChooserOptions {
  /** The configuration in force. */
  readonly configuration: () => Configuration | undefined;
  /**
   * Whether a quorum has confirmed the configuration recently. A share of a
   * target is not used without: the roll-out may have been rolled back.
   */
  readonly isConfirmed: () => boolean;
  readonly endpoints: EndpointView;
  readonly random: Random;
  /** Counts what became of requests; not counted by default. */
  readonly recorder?: OutcomeRecorder | undefined;
  /** For tests only; both are on by default. */
  readonly safeguards?: VersionSafeguards;
}

/** Safeguards that a test can turn off to show their purpose. */
export interface VersionSafeguards {
  /** A share is not used without a recent confirmation. */
  readonly confirmation: boolean;
}

/** Chooses versions for the requests of one entry. */
export interface VersionChooser {
  /**
   * The version for an attempt of a request; undefined if all instances of the
   * service may take it.
   */
  choose(
    service: string,
    route: string,
    attempts: number,
  ): VersionChoice | undefined;
  /** The other version, if no instance of the chosen one can take the request. */
  otherwise(choice: VersionChoice): VersionChoice | undefined;
  /** The instance, with its outcome counted if a roll-out is under way. */
  observe(
    target: PooledInstance,
    choice: VersionChoice,
    match: ObservedMatch,
  ): PooledInstance;
}

/** What is known of the request's route. */
export interface ObservedMatch {
  readonly route: string;
  /** Milliseconds within which an answer is good. */
  readonly objective: number;
}

interface ServiceState {
  readonly rollout: Rollout;
  readonly stable: VersionChoice;
  readonly target: VersionChoice;
  /** What each route's requests have added up to since the last to the target. */
  readonly counts: Map<string, number>;
  /** Ids of the target's instances that take part; undefined if unknown. */
  chosen: ReadonlySet<string> | undefined;
}

const defaultSafeguards: VersionSafeguards = {confirmation: true};

/** Part of the objective below which durations are not told apart. */
const fastPart = 0.2;

/** Codes of attempts that ran into a fault of the version, or may have. */
const failureCodes: ReadonlySet<Code> = new Set([
  requestCodes.upstreamLost,
  requestCodes.answerUnframed,
  requestCodes.deadlinePassed,
]);

/** Creates the chooser of an entry. */
export function createVersionChooser(
  options: VersionChooserOptions,
): VersionChooser {
  const {endpoints, random, recorder} = options;
  const safeguards = options.safeguards ?? defaultSafeguards;
  const states = new Map<string, ServiceState>();

  endpoints.onChange(service => {
    const state = states.get(service);
    if (state !== undefined) state.chosen = undefined;
  });

  function stateOf(rollout: Rollout): ServiceState {
    const known = states.get(rollout.name);
    if (known?.rollout === rollout) return known;
    const isSameOrder = known?.rollout.order?.number === rollout.order?.number;
    const state: ServiceState = {
      rollout,
      stable: {
        role: 'stable',
        rollout,
        isAllowed: ({version}) => isStableVersion(rollout, version),
      },
      target: {
        role: 'target',
        rollout,
        isAllowed: announcement => isChosen(state, announcement),
      },
      counts: known !== undefined && isSameOrder ? known.counts : new Map(),
      chosen: undefined,
    };
    states.set(rollout.name, state);
    return state;
  }

  function isChosen(state: ServiceState, announcement: Announcement): boolean {
    const {rollout} = state;
    if (!isTargetVersion(rollout, announcement.version)) return false;
    if (rollout.phase === 'switching') return true;
    state.chosen ??= chooseInstances(rollout);
    return state.chosen.has(announcement.instance);
  }

  /**
   * Few instances take the share, so that each has as much work as it will have
   * later, and a fault that needs load shows. All entries choose the same ones.
   */
  function chooseInstances(rollout: Rollout): ReadonlySet<string> {
    const {name, order, spread} = rollout;
    const ordered = endpoints
      .instances(name)
      .filter(({version}) => isTargetVersion(rollout, version))
      .filter(({state}) => state === 'serving' || state === 'warming')
      .map(({instance}) => instance)
      .map(id => ({id, rank: murmurhash.v3(`${id} ${order?.number}`)}))
      .sort((left, right) => left.rank - right.rank);
    const first = ordered.length === 0 ? 0 : rollout.offset % ordered.length;
    const turned = [...ordered.slice(first), ...ordered.slice(0, first)];
    return new Set(turned.slice(0, spread).map(({id}) => id));
  }

  /** Whether this request is the one among several that goes to the target. */
  function isTargetsTurn(
    {rollout, counts}: ServiceState,
    route: string,
  ): boolean {
    const own = rollout.routeShares.find(each => each.route === route);
    const share = own?.share ?? rollout.share;
    // Entries start at different points, so that their requests do not coincide.
    const count = (counts.get(route) ?? random.fraction()) + share;
    counts.set(route, count >= 1 ? count - 1 : count);
    return count >= 1;
  }

  return {
    choose(service, route, attempts) {
      const rollout = options.configuration()?.rollouts.get(service);
      if (rollout === undefined) return undefined;
      const state = stateOf(rollout);
      const {stable, target} = state;
      if (rollout.phase === 'switching') return target;
      // A second attempt goes where the first is known to work.
      if (rollout.phase !== 'running' || attempts > 0) return stable;
      const isUsed = !safeguards.confirmation || options.isConfirmed();
      return isUsed && isTargetsTurn(state, route) ? target : stable;
    },
    otherwise({role, rollout}) {
      const state = stateOf(rollout);
      if (role === 'target') return state.stable;
      return isUnderWay(rollout) ? state.target : undefined;
    },
    observe(target, {role, rollout}, {route, objective}) {
      if (recorder === undefined || !isUnderWay(rollout)) return target;
      const {announcement} = target;
      const request = {
        service: rollout.name,
        order: rollout.order!.number,
        role,
        route,
        instance: announcement.instance,
        fastEnough: objective * fastPart,
        isWarming: announcement.state === 'warming',
      };
      let recordEnd: ((kind: OutcomeKind) => void) | undefined;
      return {
        announcement,
        logFields: () => target.logFields(),
        updateLoad: load => target.updateLoad(load),
        updateEstimate: (call, estimate) =>
          target.updateEstimate(call, estimate),
        reported: () => target.reported(),
        updateReported: state => target.updateReported(state),
        began() {
          target.began();
          recordEnd = recorder.begin(request);
        },
        ended(code, status) {
          target.ended(code, status);
          recordEnd?.(kindOf(code, status));
        },
      };
    },
  };
}

function kindOf(code: Code | undefined, status: number): OutcomeKind {
  if (code === undefined) {
    return status >= firstServerError ? 'failed' : 'answered';
  }
  return failureCodes.has(code) ? 'failed' : 'unused';
}
