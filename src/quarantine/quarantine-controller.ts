/**
 * Puts and removes quarantines in the configuration while its control process
 * leads.
 */
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
import {createSuspectTable} from './suspect-table.js';
import {incarnationId} from './messages.js';
import type {Evidence} from './messages.js';
import {planQuarantine} from './plan.js';
import type {QuarantinePlan, QuarantineSafeguards} from './plan.js';

/** Options of `createQuarantineController`. */
export interface QuarantineControllerOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Pick<Consensus, 'propose' | 'status'>;
  readonly machine: Pick<
    ConfigurationMachine,
    'prepare' | 'current' | 'onChange'
  >;
  /** The instances in this control process's table. */
  readonly endpoints: Pick<EndpointView, 'instances'>;
  readonly timers: Timers;
  readonly log: Log;
  /** Maximum number of quarantines. */
  readonly limit: number;
  /** For tests only; all enabled by default. */
  readonly safeguards?: QuarantineSafeguards;
}

/** Collects evidence, and acts on it while its control process leads. */
export interface QuarantineController {
  addEvidence(evidence: Evidence): void;
  stop(): void;
}

/** Milliseconds between checks for changes that depend on time. */
const checkInterval = 250;

/**
 * Milliseconds for which evidence is collected before a check, since several
 * nodes may report at the same time.
 */
const gatherDelay = 20;

interface NamedPlan {
  readonly name: string;
  readonly plan: QuarantinePlan;
}

const noRoom: QuarantinePlan = {kind: 'remove', reason: 'no room'};

/** Creates the quarantine controller of a control process. */
export function createQuarantineController(
  options: QuarantineControllerOptions,
): QuarantineController {
  const {consensus, machine, endpoints, timers} = options;
  const log = options.log.scope('quarantine');
  const suspectTable = createSuspectTable(timers);
  const propose = createSystemProposer({
    operator: quarantineControllerName(options.name),
    consensus,
    machine,
    clock: timers,
  });
  /** The quarantines of the last configuration that was applied. */
  let applied: ReadonlyMap<string, Quarantine> = new Map();
  /** When each quarantine's state was applied here, by the monotonic clock. */
  const changedAt = new Map<string, number>();
  let isChecking = false;
  /** Whether quarantines are waiting for room; logged once when that begins. */
  let isFull = false;
  let isCheckScheduled = false;

  function applyConfiguration(): void {
    const {quarantines} = machine.current();
    for (const [name, quarantine] of quarantines) {
      if (applied.get(name) !== quarantine) changedAt.set(name, timers.now());
    }
    for (const name of applied.keys()) {
      if (!quarantines.has(name)) discard(name);
    }
    applied = quarantines;
  }

  /** Discards the evidence of a removed quarantine, so that counting restarts. */
  function discard(name: string): void {
    suspectTable.reset(name);
    changedAt.delete(name);
  }

  /** Incarnations on which a trial may run; empty while only watched. */
  function trialIncarnations(quarantine: Quarantine | undefined): string[] {
    if (quarantine === undefined || quarantine.state === 'watched') return [];
    return endpoints
      .instances(quarantine.service)
      .filter(({state}) => state === 'serving')
      .map(({instance, incarnation}) => incarnationId(instance, incarnation));
  }

  function planRequest(name: string): QuarantinePlan {
    const {services, quarantines} = machine.current();
    const quarantine = quarantines.get(name);
    const record = suspectTable.get(name);
    const service = (quarantine ?? record?.suspect)?.service;
    const input = {
      quarantine,
      record,
      hasService: service !== undefined && services.has(service),
      servingIncarnations: trialIncarnations(quarantine),
      hasTrialInstanceEnded: suspectTable.hasEnded(quarantine?.trialAt ?? ''),
      age: timers.now() - (changedAt.get(name) ?? timers.now()),
      wall: timers.wall(),
    };
    return planQuarantine(input, options.safeguards);
  }

  /**
   * Applies the limit. New quarantines replace the oldest watched ones, and wait
   * when there are no more of those. A held one is never removed to make room,
   * and changes to existing quarantines do not wait for room.
   */
  function applyLimit(plans: readonly NamedPlan[]): NamedPlan[] {
    const {quarantines} = machine.current();
    const isNew = ({name}: NamedPlan) => !quarantines.has(name);
    const changedNames = new Set(plans.map(({name}) => name));
    const evicted = [...quarantines.values()]
      .filter(({state, name}) => state === 'watched' && !changedNames.has(name))
      .sort((left, right) => left.since - right.since)
      .map(({name}): NamedPlan => ({name, plan: noRoom}));
    const freeSlots = Math.max(0, options.limit - quarantines.size);
    const admitted = plans.filter(isNew).slice(0, freeSlots + evicted.length);
    logMissingRoom(plans.filter(isNew).length - admitted.length);
    return [
      ...evicted.slice(0, Math.max(0, admitted.length - freeSlots)),
      ...plans.filter(entry => !isNew(entry)),
      ...admitted,
    ];
  }

  function logMissingRoom(missing: number): void {
    if (missing > 0 && !isFull) log.error('no room for quarantines', {missing});
    isFull = missing > 0;
  }

  function logPlan(name: string, plan: QuarantinePlan): void {
    if (plan.kind === 'put') {
      log.warn('request quarantined', describe(plan.quarantine));
    } else if (plan.kind === 'remove') {
      log.info('quarantine removed', {quarantine: name, reason: plan.reason});
    }
  }

  async function check(): Promise<void> {
    if (consensus.status().role !== 'leader') return;
    const {quarantines} = machine.current();
    const wantedPlans = [
      ...new Set([...quarantines.keys(), ...suspectTable.names()]),
    ]
      .map(name => ({name, plan: planRequest(name)}))
      .filter(({plan}) => plan.kind !== 'keep');
    const plans = applyLimit(wantedPlans);
    if (plans.length === 0) return;
    const proposed = await propose(
      plans.map(({name, plan}) => toEdit(name, plan)),
    );
    if (!proposed.ok || proposed.value.code !== commonCodes.ok.number) {
      const {message} = proposed.ok ? proposed.value : proposed;
      return log.warn('changes of quarantines were rejected', {
        reason: message,
      });
    }
    for (const {name, plan} of plans) logPlan(name, plan);
  }

  function checkNow(): void {
    if (isChecking) return;
    isChecking = true;
    void check().finally(() => (isChecking = false));
  }

  function scheduleCheck(): void {
    if (isCheckScheduled) return;
    isCheckScheduled = true;
    timers.after(gatherDelay, () => {
      isCheckScheduled = false;
      checkNow();
    });
  }

  machine.onChange(applyConfiguration);
  const checks = timers.every(checkInterval, checkNow);

  return {
    addEvidence: evidence => {
      if (evidence.kind === 'crash') suspectTable.crashed(evidence);
      else suspectTable.answered(evidence.name);
      scheduleCheck();
    },
    stop: () => checks.cancel(),
  };
}

function toEdit(name: string, plan: QuarantinePlan): Edit {
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
