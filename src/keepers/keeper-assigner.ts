/**
 * Assigns a set of keepers to each service, while its control process is the
 * leader.
 */
import {claimCodes} from '../claims/codes.js';
import {createKeeperClient} from '../claims/keeper-client.js';
import {majorityOf} from '../claims/vote-count.js';
import {keeperAssignerName} from '../configuration/system-name.js';
import type {
  Keeper,
  KeeperAssignment,
  KeeperSet,
} from '../configuration/configuration.js';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import type {Answer, Edit} from '../configuration/messages.js';
import {createSystemProposer} from '../configuration/system-proposer.js';
import type {Consensus} from '../consensus/consensus.js';
import type {EndpointView, KnownInstance} from '../endpoints/messages.js';
import type {Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import {failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {isAnnounced, planAfterAcceptedLoss, planKeepers} from './plan.js';
import type {ServiceView} from './plan.js';

/** Options of `createKeeperAssigner`. */
export interface KeeperAssignerOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Pick<Consensus, 'propose' | 'status'>;
  readonly machine: Pick<ConfigurationMachine, 'prepare' | 'current'>;
  /** The instances in this control process's table. */
  readonly endpoints: Pick<EndpointView, 'instances'>;
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  /** Milliseconds for which keepers retain claims; the same at every node. */
  readonly retention: number;
  /** Milliseconds between two checks; default 500. */
  readonly period?: number;
  /** Milliseconds after which an absent member is replaced; default 5000. */
  readonly missingTimeout?: number;
  /** Milliseconds to wait for more instances after the first; default 3000. */
  readonly firstAssignmentDelay?: number;
}

/** Assigns keepers while its control process is the leader. */
export interface KeeperAssigner {
  /**
   * Assigns a new set that holds claims at once. By calling this, an operator
   * confirms that the processes of the current keepers are stopped and that the
   * loss of their claims is acceptable: a resend of work whose claim was lost may
   * then run again.
   */
  acceptLoss(service: string): Promise<Result<Answer>>;
  stop(): void;
}

const defaultPeriod = 500;
const defaultMissingTimeout = 5000;
const defaultFirstAssignmentDelay = 3000;
/** Milliseconds to wait for keepers to confirm that they hold claims. */
const inquiryTimeout = 300;

/** Creates the assigner of a control process; it is idle on a follower. */
export function createKeeperAssigner(
  options: KeeperAssignerOptions,
): KeeperAssigner {
  const {consensus, machine, endpoints, timers} = options;
  const log = options.log.scope('keepers');
  const missingTimeout = options.missingTimeout ?? defaultMissingTimeout;
  const firstAssignmentDelay =
    options.firstAssignmentDelay ?? defaultFirstAssignmentDelay;
  const propose = createSystemProposer({
    operator: keeperAssignerName(options.name),
    consensus,
    machine,
    clock: timers,
  });
  const keeperClient = createKeeperClient(options.network, timers);
  /** When each member was first found absent, by service, address, incarnation. */
  const missingSince = new Map<string, number>();
  const firstSeenAt = new Map<string, number>();
  const loggedServices = new Set<string>();
  let isChecking = false;

  function isMissingTooLong(
    service: string,
    member: Keeper,
    instances: readonly KnownInstance[],
  ): boolean {
    const key = `${service} ${member.address} ${member.incarnation}`;
    if (isAnnounced(member, instances)) {
      missingSince.delete(key);
      return false;
    }
    const since = missingSince.get(key) ?? timers.now();
    missingSince.set(key, since);
    return timers.now() - since >= missingTimeout;
  }

  function isFirstDelayOver(service: string, count: number): boolean {
    if (count === 0) return false;
    const since = firstSeenAt.get(service) ?? timers.now();
    firstSeenAt.set(service, since);
    return timers.now() - since >= firstAssignmentDelay;
  }

  function view(service: string): ServiceView {
    const {services, version} = machine.current();
    const current = services.get(service)?.keepers;
    const members = current?.members ?? [];
    const instances = endpoints.instances(service);
    const missing = members
      .filter(member => isMissingTooLong(service, member, instances))
      .map(({address}) => address);
    return {
      service,
      current,
      instances,
      missing: new Set(missing),
      retention: options.retention,
      // This is also above every epoch of an earlier service with that name.
      nextEpoch: Math.max(version, current?.epoch ?? 0) + 1,
      isSettled: isFirstDelayOver(service, instances.length),
    };
  }

  /** Whether a majority of members holds claims in the set's epoch. */
  function isInForce(service: string, set: KeeperSet): Promise<boolean> {
    return new Promise(resolve => {
      const inquiries: Subscription[] = [];
      let activeCount = 0;
      const finish = (result: boolean) => {
        for (const subscription of inquiries) subscription.cancel();
        resolve(result);
      };
      inquiries.push(timers.after(inquiryTimeout, () => finish(false)));
      for (const member of set.members) {
        const question = {kind: 'inquire', service} as const;
        const subscription = keeperClient.ask(member, question, reply => {
          if (reply.kind !== 'standing' || !reply.active) return;
          if (reply.epoch !== set.epoch) return;
          activeCount++;
          if (activeCount >= majorityOf(set.members.length)) finish(true);
        });
        inquiries.push(subscription);
      }
    });
  }

  function logStuck(service: string, missing: readonly string[]): void {
    if (loggedServices.has(service)) return;
    loggedServices.add(service);
    log.error('most keepers are unreachable; keyed work is refused', {
      service,
      missing: missing.join(', '),
      action: 'restore them, or stop them and accept the loss',
    });
  }

  async function planService(service: string): Promise<Edit | undefined> {
    const plan = planKeepers(view(service));
    if (plan.kind === 'stuck') logStuck(service, plan.missing);
    else loggedServices.delete(service);
    if (plan.kind !== 'appoint') return undefined;
    const {next} = plan;
    // The next set copies claims from the previous one. A set that does not hold
    // claims has none to copy, and its successor could never start.
    const {previous} = next;
    const isReady =
      previous === undefined || (await isInForce(service, previous));
    return isReady ? toEdit(service, next) : undefined;
  }

  function toEdit(service: string, keepers: KeeperAssignment): Edit {
    const {name, slowStart} = machine.current().services.get(service)!;
    const value = {name, slowStart, keepers};
    return {action: 'put', item: {kind: 'service', value}};
  }

  async function check(): Promise<void> {
    if (consensus.status().role !== 'leader') return;
    const {version, services} = machine.current();
    const planned = await Promise.all([...services.keys()].map(planService));
    const edits = planned.filter(edit => edit !== undefined);
    if (edits.length === 0) return;
    const proposed = await propose(edits, version);
    // It fails if an operator's change was applied first; the next check plans
    // with that configuration.
    if (proposed.ok) {
      const {code, version: newVersion} = proposed.value;
      log.info('keepers assigned', {code, version: newVersion});
    }
  }

  const checks = timers.every(options.period ?? defaultPeriod, () => {
    if (isChecking) return;
    isChecking = true;
    void check().finally(() => (isChecking = false));
  });

  return {
    async acceptLoss(service) {
      const {version, services} = machine.current();
      const next = services.has(service)
        ? planAfterAcceptedLoss(view(service))
        : undefined;
      if (next === undefined) {
        return failure(
          claimCodes.keepersUnavailable,
          `${service} has no instance that could hold claims`,
        );
      }
      return propose([toEdit(service, next)], version);
    },
    stop() {
      checks.cancel();
      keeperClient.stop();
    },
  };
}
