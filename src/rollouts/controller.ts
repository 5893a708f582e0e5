/**
 * Carries out roll-outs while its control process leads: puts shares into force,
 * judges the target by the reports of all nodes, and ends the roll-out.
 */
import {sum} from 'd3-array';
import {isUnderWay} from '../configuration/configuration.js';
import type {Configuration, Rollout} from '../configuration/configuration.js';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {recordedVersion} from '../configuration/rollout-edits.js';
import {rolloutControllerName} from '../configuration/system-name.js';
import {createSystemProposer} from '../configuration/system-proposer.js';
import type {Consensus} from '../consensus/consensus.js';
import type {EndpointView, KnownInstance} from '../endpoints/messages.js';
import type {Fleet} from '../fleet/fleet.js';
import type {Fields, Log} from '../log/log.js';
import {commonCodes} from '../result/codes.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';
import {totalAnswers} from './analysis.js';
import type {RolloutAnalysis, Span} from './analysis.js';
import {since} from './evidence.js';
import type {Evidence, RouteTable} from './evidence.js';
import type {RolloutExchange} from './exchange.js';
import {isTakenOver} from './takeover.js';
import {planRollout} from './plan.js';
import type {
  ExposureLimits,
  PlanInput,
  PlanSafeguards,
  VersionCapacity,
} from './plan.js';
import {createSequentialAnalysis} from './sequential-analysis.js';
import {isTargetVersion, mostFrequentVersion} from './versions.js';

/** Options of `createRolloutController`. */
export interface RolloutControllerOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Pick<Consensus, 'propose' | 'status'>;
  readonly machine: Pick<
    ConfigurationMachine,
    'prepare' | 'current' | 'onChange'
  >;
  readonly endpoints: Pick<EndpointView, 'instances'>;
  readonly fleet: Pick<Fleet, 'summary'>;
  readonly exchange: Pick<RolloutExchange, 'evidence' | 'discard'>;
  readonly timers: Timers;
  readonly log: Log;
  readonly limits: ExposureLimits;
  readonly metrics: Pick<Metrics, 'rollout'>;
  /**
   * Whether the version of a service's first instances is recorded, so that
   * instances of another one get no requests before it is ordered.
   */
  readonly recordsVersions: boolean;
  /** Default: the sequential analysis. */
  readonly analysis?: RolloutAnalysis;
  /** For tests only; all enabled by default. */
  readonly safeguards?: PlanSafeguards;
}

/** Carries out roll-outs until it is stopped. */
export interface RolloutController {
  stop(): void;
}

/** Milliseconds between two steps of a roll-out. */
const stepInterval = 100;

/** Milliseconds between two looks for services without a recorded version. */
const recordInterval = 500;

/** Milliseconds between two snapshots of the sums. */
const snapshotInterval = 500;

/** Lengths of the spans in which the target is judged, in milliseconds. */
const spanLengths = [1_000, 2_000, 4_000] as const;

/** Milliseconds for which the evidence is kept after the end of a roll-out. */
const evidenceRetention = 10_000;

interface Snapshot {
  readonly at: number;
  readonly table: RouteTable;
}

/** What the controller knows about one order. */
interface Course {
  readonly order: number;
  phase: Rollout['phase'];
  /** When the last state was applied here. */
  appliedAt: number;
  /** When the present phase was applied here, and its version. */
  phaseAt: number;
  phaseVersion: number;
  hasTargetAppeared: boolean;
  snapshots: Snapshot[];
}

/** Creates the roll-out controller of a control process. */
export function createRolloutController(
  options: RolloutControllerOptions,
): RolloutController {
  const {consensus, machine, endpoints, exchange, timers} = options;
  const log = options.log.scope('rollouts');
  const analysis = options.analysis ?? createSequentialAnalysis();
  const propose = createSystemProposer({
    operator: rolloutControllerName(options.name),
    consensus,
    machine,
    clock: timers,
  });
  const isLeading = () => consensus.status().role === 'leader';
  const courses = new Map<string, Course>();
  let applied: Configuration['rollouts'] = new Map();
  let isProposing = false;
  let steps: Subscription | undefined;

  function follow(): void {
    const {rollouts, version} = machine.current();
    if (rollouts === applied) return;
    for (const [service, rollout] of rollouts) {
      if (applied.get(service) !== rollout) update(rollout, version);
    }
    for (const service of applied.keys()) {
      if (!rollouts.has(service)) discard(service);
    }
    applied = rollouts;
    schedule();
  }

  /** Steps are taken only while a roll-out is under way. */
  function schedule(): void {
    if (![...applied.values()].some(isUnderWay)) {
      steps?.cancel();
      steps = undefined;
      return;
    }
    steps ??= timers.every(stepInterval, () => {
      if (isLeading() && !isProposing) void put(planAll());
    });
  }

  function update(rollout: Rollout, version: number): void {
    const {name, order, phase} = rollout;
    if (order === undefined) return;
    const {share} = rollout;
    const isOngoing = isUnderWay(rollout);
    options.metrics.rollout({service: name, share, isUnderWay: isOngoing});
    const now = timers.now();
    const known = courses.get(name);
    const course: Course =
      known?.order === order.number
        ? known
        : {
            order: order.number,
            phase: 'idle',
            appliedAt: now,
            phaseAt: now,
            phaseVersion: version,
            hasTargetAppeared: false,
            snapshots: [],
          };
    courses.set(name, course);
    course.appliedAt = now;
    if (course.phase === phase) return;
    Object.assign(course, {phase, phaseAt: now, phaseVersion: version});
    log.info('rollout phase', describe(rollout));
    if (!isOngoing) discardLater(rollout);
  }

  function discardLater({name, order}: Rollout): void {
    timers.after(evidenceRetention, () => {
      const present = machine.current().rollouts.get(name);
      const isSame = present?.order?.number === order?.number;
      if (isSame && !isUnderWay(present!)) discard(name);
    });
  }

  function discard(service: string): void {
    courses.delete(service);
    exchange.discard(service);
  }

  function spansOf(course: Course, table: RouteTable): Span[] {
    const now = timers.now();
    const recent = spanLengths.flatMap(length => {
      const start = course.snapshots.findLast(({at}) => at <= now - length);
      if (start === undefined) return [];
      const name = `in the last ${length / 1000} s`;
      return [{name, table: since(table, start.table)}];
    });
    return [{name: 'since the order', table}, ...recent];
  }

  function keepSnapshot(course: Course, table: RouteTable): void {
    const now = timers.now();
    const last = course.snapshots.at(-1);
    if (last !== undefined && now - last.at < snapshotInterval) return;
    const oldest = now - Math.max(...spanLengths) - 2 * snapshotInterval;
    course.snapshots = course.snapshots.filter(({at}) => at >= oldest);
    course.snapshots.push({at: now, table});
  }

  function instancesOf(
    rollout: Rollout,
    isOfTarget: boolean,
  ): readonly KnownInstance[] {
    return endpoints
      .instances(rollout.name)
      .filter(({state}) => state === 'serving' || state === 'warming')
      .filter(each => isTargetVersion(rollout, each.version) === isOfTarget);
  }

  function inputFor(rollout: Rollout, course: Course): PlanInput {
    const evidence = exchange.evidence(rollout.name, course.order);
    const table: RouteTable = evidence?.sums() ?? new Map();
    const verdict = analysis.judge(spansOf(course, table));
    keepSnapshot(course, table);
    const target = capacityOf(instancesOf(rollout, true));
    course.hasTargetAppeared ||= target.instances > 0;
    return {
      rollout,
      elapsed: rollout.elapsed + timers.now() - course.appliedAt,
      table,
      verdict,
      target,
      stable: capacityOf(instancesOf(rollout, false)),
      hasTargetAppeared: course.hasTargetAppeared,
      isTakenOver:
        rollout.phase === 'switching' && hasTakenOver(course, evidence),
      limits: options.limits,
    };
  }

  function hasTakenOver(
    {phaseAt, phaseVersion}: Course,
    evidence: Evidence | undefined,
  ): boolean {
    return isTakenOver({
      version: phaseVersion,
      age: timers.now() - phaseAt,
      now: timers.now(),
      nodes: evidence?.nodes() ?? [],
      fleet: options.fleet.summary(phaseVersion),
    });
  }

  function planAll(): Rollout[] {
    return [...machine.current().rollouts.values()]
      .filter(isUnderWay)
      .flatMap(rollout => {
        const course = courses.get(rollout.name);
        if (course === undefined) return [];
        const input = inputFor(rollout, course);
        const next = planRollout(input, options.safeguards);
        if (next === undefined) return [];
        logStep(input, next);
        return [next];
      });
  }

  function logStep(
    {rollout, table, verdict, target}: PlanInput,
    next: Rollout,
  ): void {
    if (next.phase === rollout.phase && next.share === rollout.share) return;
    const stable = [...table.values()].map(each => each.stable);
    const targets = [...table.values()].flatMap(each => [
      ...each.targets.values(),
    ]);
    log.info('rollout step', {
      ...describe(next),
      verdict: verdict.kind,
      evidence: verdict.reason,
      targetInstances: target.instances,
      targetAnswers: totalAnswers(targets),
      targetFailures: sum(targets, ({failures}) => failures),
      stableAnswers: totalAnswers(stable),
      stableFailures: sum(stable, ({failures}) => failures),
    });
  }

  /** Services whose version is not recorded yet, with the one that they run. */
  function planRecords(): Rollout[] {
    const {services, rollouts} = machine.current();
    return [...services.keys()]
      .filter(service => !rollouts.has(service))
      .flatMap(service => {
        const version = mostFrequentVersion(endpoints.instances(service));
        return version === undefined ? [] : [recordedVersion(service, version)];
      });
  }

  async function put(rollouts: readonly Rollout[]): Promise<void> {
    if (rollouts.length === 0 || isProposing) return;
    isProposing = true;
    // One command each, so that a refused one does not hold up the others.
    for (const value of rollouts) {
      const item = {kind: 'rollout' as const, value};
      const proposed = await propose([{action: 'put', item}]);
      const isAccepted =
        proposed.ok && proposed.value.code === commonCodes.ok.number;
      if (isAccepted) continue;
      const {message} = proposed.ok ? proposed.value : proposed;
      log.warn('step of a rollout was rejected', {
        service: value.name,
        reason: message,
      });
    }
    isProposing = false;
  }

  machine.onChange(follow);
  follow();
  const records = timers.every(recordInterval, () => {
    if (options.recordsVersions && isLeading()) void put(planRecords());
  });

  return {
    stop: () => {
      steps?.cancel();
      records.cancel();
    },
  };
}

function capacityOf(instances: readonly KnownInstance[]): VersionCapacity {
  return {
    instances: instances.length,
    slots: sum(instances, ({slots}) => slots),
  };
}

function describe(rollout: Rollout): Fields {
  const {name, order, phase, elapsed, share, spread, reason} = rollout;
  return {
    service: name,
    target: order?.target,
    order: order?.number,
    phase,
    elapsed,
    share,
    spread,
    reason,
  };
}
