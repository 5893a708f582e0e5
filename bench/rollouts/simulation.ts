/**
 * Plays one roll-out in simulated time: the real controllers, exchanges,
 * reporters and version choosers over a fake network, with modelled instances.
 */
import {
  createSampleMachine,
  putService,
} from '../../src/configuration/fakes/sample.js';
import type {
  Configuration,
  Rollout,
} from '../../src/configuration/configuration.js';
import {isUnderWay} from '../../src/configuration/configuration.js';
import type {ConfigurationMachine} from '../../src/configuration/create-configuration-machine.js';
import type {Edit} from '../../src/configuration/messages.js';
import {createFakeGroup} from '../../src/consensus/fakes/fake-consensus.js';
import type {KnownInstance} from '../../src/endpoints/messages.js';
import type {FleetSummary} from '../../src/fleet/summary.js';
import {createChannels} from '../../src/link/channel.js';
import type {Channels} from '../../src/link/channel.js';
import {createFakeNetwork} from '../../src/link/fakes/fake-network.js';
import {createRecordedLog} from '../../src/log/fakes/recorded-log.js';
import {createNoMetrics} from '../../src/metrics/metrics.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createVersionChooser} from '../../src/request/decisions/version-choice.js';
import type {PooledInstance} from '../../src/request/decisions/instance-pool.js';
import type {RolloutAnalysis} from '../../src/rollouts/analysis.js';
import {createRolloutController} from '../../src/rollouts/controller.js';
import {createRolloutExchange} from '../../src/rollouts/exchange.js';
import type {PlanSafeguards} from '../../src/rollouts/plan.js';
import {createOutcomeRecorder} from '../../src/rollouts/recorder.js';
import {createRolloutReporter} from '../../src/rollouts/reporter.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import type {RunKind} from './kinds.js';

/** Options of `playRollout`. */
export interface SimulationOptions {
  readonly kind: RunKind;
  readonly seed: number;
  /** Requests a second; default 240. */
  readonly rate?: number;
  readonly analysis?: RolloutAnalysis;
  readonly safeguards?: PlanSafeguards;
  /** Test only: whether shares need a confirmed configuration; default true. */
  readonly confirmation?: boolean;
}

/** What came of one roll-out. */
export interface RolloutResult {
  readonly phase: Rollout['phase'];
  readonly reason: string;
  /** Milliseconds from the order to its end. */
  readonly endedAfter: number;
  /** Requests to the target until the deadline, as a share of the allowance. */
  readonly exposure: number;
  /** Milliseconds from the first and from the 50th bad answer to the last send. */
  readonly afterFirstBad: number;
  readonly afterFiftiethBad: number;
  /** Requests that ran at stable versions when the roll-out completed. */
  readonly lost: number;
  /** By tenths of a second: share of the target, and its bad answers so far. */
  readonly course: readonly CoursePoint[];
}

/** One point in the course of a roll-out. */
export interface CoursePoint {
  readonly at: number;
  readonly share: number;
  readonly badAnswers: number;
}

const service = 'stock-desk';
const duration = 12_000;
const controls = ['control-1', 'control-2', 'control-3'];
const entryCount = 12;
const oldInstances = 20;
const slots = 8;

/** Share of requests on the less frequent route. */
const rareShare = 0.1;

/** Mean work of an instance of speed 1 in milliseconds, and its spread. */
const work = {mean: 300, spread: 0.7} as const;

/** Milliseconds for which an instance is twice as slow after its start. */
const warmUp = 3_000;

/** Milliseconds until a configuration is in force at an entry. */
const leastDelay = 60;
const mostDelay = 300;

/** Milliseconds within which an answer is good. */
const objective = 1_000;

const tick = 10;
const limits = {share: 0.1, slack: 50} as const;

interface Instance {
  announcement: KnownInstance;
  readonly speed: number;
  readonly isNew: boolean;
  readonly isBad: boolean;
  readonly isSlow: boolean;
  readonly bornAt: number;
  running: number;
  isLost: boolean;
}

interface RunningRequest {
  readonly endsAt: number;
  readonly isBad: boolean;
  readonly instance: Instance;
  readonly end: (failed: boolean) => void;
}

/** Plays one roll-out to its end. */
export async function playRollout(
  options: SimulationOptions,
): Promise<RolloutResult> {
  const {kind, seed} = options;
  const {fault, trouble = {}} = kind;
  const random = createRandom(seed);
  const timers = createFakeTimers(1_000_000);
  const network = createFakeNetwork(timers, 3);
  const {log} = createRecordedLog();
  const group = createFakeGroup<ConfigurationMachine>(controls, () =>
    createSampleMachine(),
  );
  const instances: Instance[] = [];
  const observers: Array<(service: string) => void> = [];
  const endpoints = {
    instances: () =>
      instances.filter(({isLost}) => !isLost).map(each => each.announcement),
    onChange: (observe: (service: string) => void) =>
      void observers.push(observe),
  };
  let orderedAt = Infinity;
  const sinceOrder = () => timers.now() - orderedAt;

  function addInstance(id: string, version: string, index: number): void {
    const isNew = version === 'v2';
    instances.push({
      announcement: announcementOf(id, version, isNew, timers.now()),
      speed: [0.6, 1, 1.6][random.integer(3)]!,
      isNew,
      isBad: isNew && index < (trouble.badInstances ?? 0),
      isSlow: isNew && index < (trouble.slowInstances ?? 0),
      bornAt: isNew ? timers.now() : -Infinity,
      running: 0,
      isLost: false,
    });
    for (const observe of observers) observe(service);
    if (!isNew) return;
    timers.after(warmUp, () => {
      const instance = instances.find(
        each => each.announcement.instance === id,
      )!;
      instance.announcement = {...instance.announcement, state: 'serving'};
      for (const observe of observers) observe(service);
    });
  }

  for (let index = 0; index < oldInstances; index++) {
    addInstance(`old-${index}`, 'v1', index);
  }

  const entries = Array.from({length: entryCount}, (_, index) => {
    const name = `entry-${index}`;
    const state = {
      name,
      configuration: undefined as Configuration | undefined,
      isCut: false,
      cutAt: Infinity,
    };
    const isConfirmed = () => timers.now() - state.cutAt < 1_200;
    const recorder = createOutcomeRecorder(timers);
    const chooser = createVersionChooser({
      configuration: () => state.configuration,
      isConfirmed,
      endpoints,
      random,
      recorder,
      safeguards: {confirmation: options.confirmation ?? true},
    });
    let stableRunning = 0;
    const reporter = createRolloutReporter({
      name,
      timers,
      recorder,
      isConfirmed,
      stableRunning: () => stableRunning,
    });
    return {
      ...{state, chooser, reporter},
      addStable: (change: number) => void (stableRunning += change),
      stableRunning: () => stableRunning,
    };
  });

  function apply(configuration: Configuration): void {
    for (const {state, reporter} of entries) {
      const delay = leastDelay + random.integer(mostDelay - leastDelay);
      const deliver = (): void => {
        if (state.isCut) return void timers.after(200, deliver);
        if ((state.configuration?.version ?? 0) >= configuration.version)
          return;
        state.configuration = configuration;
        reporter.update(configuration);
      };
      timers.after(delay, deliver);
    }
  }

  const fleet = {
    summary: (version: number): FleetSummary => {
      const touched = entries.filter(({state}) => !state.isCut);
      const inForce = touched.filter(
        ({state}) => (state.configuration?.version ?? 0) >= version,
      ).length;
      return {
        version,
        isSettled: true,
        nodes: entries.length,
        inForce,
        behind: touched.length - inForce,
        unknown: entries.length - touched.length,
        domains: [],
        laggards: [],
        homes: [],
      };
    },
  };

  const exchanges = new Map(
    controls.map(name => [name, createRolloutExchange({timers, log})]),
  );
  const controllers = controls.map(name =>
    createRolloutController({
      name,
      consensus: group.member(name),
      machine: group.machine(name),
      endpoints,
      fleet,
      exchange: exchanges.get(name)!,
      timers,
      log,
      limits,
      metrics: createNoMetrics(),
      recordsVersions: true,
      ...(options.analysis !== undefined && {analysis: options.analysis}),
      ...(options.safeguards !== undefined && {safeguards: options.safeguards}),
    }),
  );
  group.machine(controls[0]!).onChange(() => {
    apply(group.machine(controls[0]!).current());
  });

  async function link(from: string, to: string): Promise<Channels> {
    const connecting = network.from(from).connect(`${to}:1`);
    await timers.advanceAsync(10);
    return createChannels(await connecting);
  }

  for (const name of controls) {
    const exchange = exchanges.get(name)!;
    await network.from(name).listen(`${name}:1`, accepted => {
      const channels = createChannels(accepted);
      if (accepted.peer.startsWith('control')) exchange.peer(channels);
      else exchange.accept(channels);
    });
  }
  for (const [index, name] of controls.entries()) {
    for (const other of controls.slice(index + 1)) {
      exchanges.get(name)!.peer(await link(name, other));
    }
  }
  for (const [index, {state, reporter}] of entries.entries()) {
    reporter.attach(await link(state.name, controls[index % 3]!));
  }

  let sequence = 0;
  async function change(edit: Edit): Promise<void> {
    const command = {operator: 'amina', sequence: ++sequence, edits: [edit]};
    const machine = group.machine(controls[0]!);
    await group.member(leader()).propose(machine.prepare(command, 1));
  }
  const leader = () => group.member(controls[0]!).status().leader!;
  const rollout = () =>
    group.machine(controls[0]!).current().rollouts.get(service);

  await change(putService(service));
  await timers.advanceAsync(1_500);

  const traffic = createTraffic();
  const ticks = timers.every(tick, traffic.step);
  await timers.advanceAsync(1_000);
  await change({action: 'start-rollout', service, target: 'v2', duration});
  orderedAt = timers.now();
  planTrouble();
  const course: CoursePoint[] = [];
  let endedAfter = 0;
  let lost = 0;
  while (sinceOrder() < duration + 4_000) {
    await timers.advanceAsync(100);
    const present = rollout()!;
    course.push({
      at: sinceOrder(),
      share: present.share,
      badAnswers: traffic.badAnswers(),
    });
    if (isUnderWay(present)) continue;
    if (endedAfter === 0) {
      endedAfter = sinceOrder();
      lost =
        present.phase === 'completed'
          ? entries
              .filter(({state}) => !state.isCut)
              .reduce((all, entry) => all + entry.stableRunning(), 0)
          : 0;
    }
    if (sinceOrder() > endedAfter + 2_000 && sinceOrder() > duration) break;
  }
  ticks.cancel();
  for (const controller of controllers) controller.stop();
  const {phase, reason} = rollout()!;
  return {
    ...{phase, reason, endedAfter, lost, course},
    ...traffic.figures(),
  };

  function planTrouble(): void {
    const part = trouble.part ?? 1;
    timers.after(trouble.arrival ?? 300, () => {
      const count = Math.round(oldInstances * part);
      for (let index = 0; index < count; index++) {
        addInstance(`new-${index}`, 'v2', index);
      }
    });
    timers.after(5_000, () => {
      lose(false, trouble.lostOld ?? 0);
      lose(true, trouble.lostNew ?? 0);
    });
    for (const at of trouble.leaderLost ? [3_000, 9_500] : []) {
      timers.after(at + random.integer(1_000), loseLeader);
    }
    timers.after(4_000, () => cut(true));
    timers.after(8_000, () => cut(false));
    if (!trouble.lostAnswers) return;
    const outcomes = ['answer', 'commit-and-lose', 'lose'] as const;
    timers.every(300, () => {
      if (sinceOrder() < duration) group.planOutcomes(random.pick(outcomes));
    });
  }

  function lose(isNew: boolean, count: number): void {
    const kept = instances.filter(each => each.isNew === isNew);
    for (const instance of kept.slice(0, count)) instance.isLost = true;
    for (const observe of observers) observe(service);
  }

  function loseLeader(): void {
    const next = controls[(controls.indexOf(leader()) + 1) % 3]!;
    group.lead(undefined);
    for (const {state} of entries) state.cutAt = timers.now();
    timers.after(900, () => {
      group.lead(next);
      for (const {state} of entries) state.cutAt = Infinity;
    });
  }

  function cut(isCut: boolean): void {
    for (const {state} of entries.slice(0, trouble.cutEntries ?? 0)) {
      state.isCut = isCut;
      state.cutAt = isCut ? timers.now() : Infinity;
      for (const control of isCut ? controls : []) {
        network.cut(state.name, control);
        network.cut(control, state.name);
      }
    }
    if (!isCut) network.heal();
  }

  function createTraffic() {
    let running: RunningRequest[] = [];
    let sent = 0;
    let toTarget = 0;
    let bad = 0;
    let firstBadAt = Infinity;
    let fiftiethBadAt = Infinity;
    let lastToTargetAt = 0;
    const rate = options.rate ?? 240;

    function step(): void {
      const now = timers.now();
      const ended = running.filter(({endsAt}) => endsAt <= now);
      running = running.filter(({endsAt}) => endsAt > now);
      for (const request of ended) finish(request);
      const isBurst = sinceOrder() > 4_000 && sinceOrder() < 7_000;
      const factor = isBurst ? (trouble.burst ?? 1) : 1;
      const count = poisson(random, (rate * factor * tick) / 1_000);
      for (let index = 0; index < count; index++) start();
    }

    function finish({instance, isBad, end}: RunningRequest): void {
      instance.running--;
      end(isBad || instance.isLost);
    }

    function start(): void {
      const entry = random.pick(entries);
      const route = random.fraction() < rareShare ? 'rare' : 'usual';
      const choice = entry.chooser.choose(service, route, 0);
      const instance =
        pick(choice) ?? (choice && pick(entry.chooser.otherwise(choice)));
      if (instance === undefined) return;
      const observed =
        choice === undefined
          ? undefined
          : entry.chooser.observe(pooled(instance), roleOf(instance), {
              route,
              objective,
            });
      observed?.began();
      if (!instance.isNew) entry.addStable(1);
      count(entry, instance);
      instance.running++;
      const isBad = isFailing(instance, route);
      const slow = isSlowed(instance, route);
      const lasting = lastingOf(instance) * (slow ? fault!.slower! : 1);
      running.push({
        endsAt: timers.now() + Math.min(lasting, 4_000),
        isBad,
        instance,
        end: failed => {
          if (!instance.isNew) entry.addStable(-1);
          if (instance.isNew && (slow || (isBad && !instance.isBad))) noteBad();
          observed?.ended(undefined, failed ? 500 : 200);
        },
      });

      function roleOf({isNew}: Instance) {
        const other = entry.chooser.otherwise(choice!);
        const isChosen = (choice!.role === 'target') === isNew;
        return isChosen ? choice! : (other ?? choice!);
      }
    }

    function count({state}: (typeof entries)[number], {isNew}: Instance): void {
      if (sinceOrder() < 0 || state.isCut) return;
      if (sinceOrder() <= duration) sent++;
      if (!isNew) return;
      if (sinceOrder() <= duration) toTarget++;
      lastToTargetAt = timers.now();
    }

    function noteBad(): void {
      bad++;
      if (bad === 1) firstBadAt = timers.now();
      if (bad === 50) fiftiethBadAt = timers.now();
    }

    function pick(
      choice: ReturnType<(typeof entries)[number]['chooser']['choose']>,
    ): Instance | undefined {
      const usable = instances.filter(
        each =>
          !each.isLost && (choice?.isAllowed(each.announcement) ?? !each.isNew),
      );
      if (usable.length === 0) return undefined;
      const [left, right] = [random.pick(usable), random.pick(usable)];
      return left.running <= right.running ? left : right;
    }

    function isFailing(instance: Instance, route: string): boolean {
      const isBothFailing = sinceOrder() > 3_000 && sinceOrder() < 8_000;
      const common = isBothFailing ? (trouble.failingBoth ?? 0) : 0;
      const own = instance.isBad ? 0.5 : faultOf(instance, route, 'failing');
      return random.fraction() < 0.004 + common + own;
    }

    function isSlowed(instance: Instance, route: string): boolean {
      return random.fraction() < faultOf(instance, route, 'slow');
    }

    function faultOf(
      instance: Instance,
      route: string,
      key: 'failing' | 'slow',
    ): number {
      if (fault === undefined || !instance.isNew) return 0;
      if (sinceOrder() < (fault.from ?? 0)) return 0;
      if (fault.route !== undefined && fault.route !== route) return 0;
      if (instance.running / slots < (fault.load ?? 0)) return 0;
      return fault[key] ?? 0;
    }

    function lastingOf(instance: Instance): number {
      const isCold = timers.now() - instance.bornAt < warmUp;
      const slowness = (isCold ? 2 : 1) * (instance.isSlow ? 4 : 1);
      const waiting = Math.max(1, instance.running / slots);
      return (lognormal(random) * slowness * waiting) / instance.speed;
    }

    return {
      step,
      badAnswers: () => bad,
      figures: () => ({
        exposure: toTarget / (limits.share * sent + limits.slack),
        afterFirstBad: Math.max(0, lastToTargetAt - firstBadAt),
        afterFiftiethBad: Math.max(0, lastToTargetAt - fiftiethBadAt),
      }),
    };
  }
}

function announcementOf(
  instance: string,
  version: string,
  isNew: boolean,
  since: number,
): KnownInstance {
  return {
    instance,
    service,
    version,
    incarnation: 1,
    sequence: 1,
    state: isNew ? 'warming' : 'serving',
    gate: '127.0.0.1:1',
    failureDomain: 'hall-a',
    region: 'north',
    slots,
    connections: 100,
    since,
  };
}

function pooled({announcement}: Instance): PooledInstance {
  return {
    announcement,
    logFields: () => {
      throw new Error('not used');
    },
    updateLoad: () => {},
    updateEstimate: () => {},
    reported: () => undefined,
    updateReported: () => {},
    began: () => {},
    ended: () => {},
  };
}

function poisson(random: Random, mean: number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random.fraction(); product > limit; count++) {
    product *= random.fraction();
  }
  return count;
}

function lognormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(2 * Math.PI * random.fraction());
  const {mean, spread} = work;
  return mean * Math.exp(spread * normal - spread ** 2 / 2);
}
