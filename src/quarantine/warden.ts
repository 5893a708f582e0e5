/** A control process's part: the leader puts what all nodes are to obey. */
import type {Quarantine} from '../configuration/configuration.js';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import type {Edit} from '../configuration/messages.js';
import {quarantineControllerName} from '../configuration/system-name.js';
import {createSystemProposer} from '../configuration/system-proposer.js';
import type {Consensus} from '../consensus/consensus.js';
import type {EndpointView} from '../endpoints/messages.js';
import type {Fields, Log} from '../log/log.js';
import {commonCodes} from '../result/codes.js';
import type {Timers} from '../time/timers.js';
import {createLedger} from './ledger.js';
import {lifeOf} from './messages.js';
import type {Evidence} from './messages.js';
import {planQuarantine} from './plan.js';
import type {Plan, QuarantineSafeguards} from './plan.js';

/** Options of `createQuarantineWarden`. */
export interface QuarantineWardenOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Pick<Consensus, 'propose' | 'status'>;
  readonly machine: Pick<
    ConfigurationMachine,
    'prepare' | 'current' | 'onChange'
  >;
  /** All instances, as this control process knows them. */
  readonly endpoints: Pick<EndpointView, 'instances'>;
  readonly timers: Timers;
  readonly log: Log;
  /** Quarantines at once. */
  readonly limit: number;
  /** For tests only; all on by default. */
  readonly safeguards?: QuarantineSafeguards;
}

/** Keeps what was heard, and decides on it while its process leads. */
export interface QuarantineWarden {
  take(evidence: Evidence): void;
  stop(): void;
}

/** Milliseconds between two looks; what can wait is decided at one. */
const period = 250;

/** Milliseconds for which evidence is gathered; a crash is told by many at once. */
const gatherTime = 20;

interface NamedPlan {
  readonly name: string;
  readonly plan: Plan;
}

const noRoom: Plan = {kind: 'remove', reason: 'no room'};

/** Creates the warden of a control process. */
export function createQuarantineWarden(
  options: QuarantineWardenOptions,
): QuarantineWarden {
  const {consensus, machine, endpoints, timers} = options;
  const log = options.log.scope('quarantine');
  const ledger = createLedger(timers);
  const propose = createSystemProposer({
    operator: quarantineControllerName(options.name),
    consensus,
    machine,
    clock: timers,
  });
  let known: ReadonlyMap<string, Quarantine> = new Map();
  /** When each quarantine took its state here, by the steady clock. */
  const changedAt = new Map<string, number>();
  let isBusy = false;
  let isFull = false;
  let isGathering = false;

  function follow(): void {
    const {quarantines} = machine.current();
    for (const [name, quarantine] of quarantines) {
      if (known.get(name) !== quarantine) changedAt.set(name, timers.now());
    }
    for (const name of known.keys()) {
      if (!quarantines.has(name)) forget(name);
    }
    known = quarantines;
  }

  /** One that was answered, released or has expired begins anew. */
  function forget(name: string): void {
    ledger.forget(name);
    changedAt.delete(name);
  }

  /** Where a trial may run; asked only for what may be tried. */
  function trialLives(quarantine: Quarantine | undefined): string[] {
    if (quarantine === undefined || quarantine.state === 'watched') return [];
    return endpoints
      .instances(quarantine.service)
      .filter(({state}) => state === 'serving')
      .map(({instance, incarnation}) => lifeOf(instance, incarnation));
  }

  function planOne(name: string): Plan {
    const {services, quarantines} = machine.current();
    const quarantine = quarantines.get(name);
    const record = ledger.get(name);
    const service = (quarantine ?? record?.suspect)?.service;
    const known = {
      quarantine,
      record,
      hasService: service !== undefined && services.has(service),
      lives: trialLives(quarantine),
      hasTrialEnded: ledger.hasEnded(quarantine?.trialAt ?? ''),
      age: timers.now() - (changedAt.get(name) ?? timers.now()),
      wall: timers.wall(),
    };
    return planQuarantine(known, options.safeguards);
  }

  /**
   * The watched ones give way, and beyond that new ones wait: a held one is
   * never let go of for room, and no change of it waits for room.
   */
  function fit(plans: readonly NamedPlan[]): NamedPlan[] {
    const {quarantines} = machine.current();
    const isNew = ({name}: NamedPlan) => !quarantines.has(name);
    const touched = new Set(plans.map(({name}) => name));
    const yielding = [...quarantines.values()]
      .filter(({state, name}) => state === 'watched' && !touched.has(name))
      .sort((left, right) => left.since - right.since)
      .map(({name}): NamedPlan => ({name, plan: noRoom}));
    const free = Math.max(0, options.limit - quarantines.size);
    const added = plans.filter(isNew).slice(0, free + yielding.length);
    tellRoom(plans.filter(isNew).length - added.length);
    return [
      ...yielding.slice(0, Math.max(0, added.length - free)),
      ...plans.filter(one => !isNew(one)),
      ...added,
    ];
  }

  function tellRoom(missing: number): void {
    if (missing > 0 && !isFull) log.error('no room for quarantines', {missing});
    isFull = missing > 0;
  }

  function tell(name: string, plan: Plan): void {
    if (plan.kind === 'put') {
      log.warn('request quarantined', describe(plan.quarantine));
    } else if (plan.kind === 'remove') {
      log.info('quarantine ended', {quarantine: name, reason: plan.reason});
    }
  }

  async function look(): Promise<void> {
    if (consensus.status().role !== 'leader') return;
    const {quarantines} = machine.current();
    const wanted = [...new Set([...quarantines.keys(), ...ledger.names()])]
      .map(name => ({name, plan: planOne(name)}))
      .filter(({plan}) => plan.kind !== 'keep');
    const plans = fit(wanted);
    if (plans.length === 0) return;
    const answer = await propose(
      plans.map(({name, plan}) => toEdit(name, plan)),
    );
    if (!answer.ok || answer.value.code !== commonCodes.ok.number) {
      const {message} = answer.ok ? answer.value : answer;
      return log.warn('quarantines not changed', {reason: message});
    }
    for (const {name, plan} of plans) tell(name, plan);
  }

  function lookOnce(): void {
    if (isBusy) return;
    isBusy = true;
    void look().finally(() => (isBusy = false));
  }

  function lookSoon(): void {
    if (isGathering) return;
    isGathering = true;
    timers.after(gatherTime, () => {
      isGathering = false;
      lookOnce();
    });
  }

  machine.onChange(follow);
  const ticking = timers.every(period, lookOnce);

  return {
    take: evidence => {
      if (evidence.kind === 'crash') ledger.crashed(evidence);
      else ledger.answered(evidence.name);
      lookSoon();
    },
    stop: () => ticking.cancel(),
  };
}

function toEdit(name: string, plan: Plan): Edit {
  if (plan.kind !== 'put') return {action: 'remove', kind: 'quarantine', name};
  return {action: 'put', item: {kind: 'quarantine', value: plan.quarantine}};
}

function describe(quarantine: Quarantine): Fields {
  const {name, state, service, request, ended, trials, trialAt} = quarantine;
  return {
    quarantine: name,
    state,
    service,
    request,
    ended: ended.join(' '),
    trials,
    trialAt,
  };
}
