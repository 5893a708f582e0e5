/** The leader's part in keeper sets: sees to it that each service has one. */
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
import {isSeen, planAccepted, planKeepers} from './plan.js';
import type {ServiceView} from './plan.js';

/** What an appointer is made of. */
export interface AppointerOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Pick<Consensus, 'propose' | 'status'>;
  readonly machine: Pick<ConfigurationMachine, 'prepare' | 'current'>;
  /** All instances, as this control process knows them. */
  readonly endpoints: Pick<EndpointView, 'instances'>;
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  /** Milliseconds for which keepers keep claims; the same at every node. */
  readonly retention: number;
  /** Milliseconds between two looks; default 500. */
  readonly period?: number;
  /** Milliseconds a member may be unseen before it is replaced; default 5000. */
  readonly missingGrace?: number;
  /** Milliseconds to wait for a service's first instances; default 3000. */
  readonly firstGrace?: number;
}

/** Appoints keepers while its control process leads. */
export interface Appointer {
  /**
   * An operator's word that the current keepers' processes are stopped and
   * their claims given up: the next set holds claims at once. A resend of work
   * whose claim was lost may then run again.
   */
  acceptLoss(service: string): Promise<Result<Answer>>;
  stop(): void;
}

const defaultPeriod = 500;
const defaultMissingGrace = 5000;
const defaultFirstGrace = 3000;
const inquiryTimeout = 300;

/** Creates the appointer of a control process; idle unless it leads. */
export function createAppointer(options: AppointerOptions): Appointer {
  const {consensus, machine, endpoints, timers} = options;
  const log = options.log.scope('keepers');
  const missingGrace = options.missingGrace ?? defaultMissingGrace;
  const firstGrace = options.firstGrace ?? defaultFirstGrace;
  const propose = createSystemProposer({
    operator: keeperAssignerName(options.name),
    consensus,
    machine,
    clock: timers,
  });
  const peers = createKeeperClient(options.network, timers);
  /** When each service's member was first found missing. */
  const missingSince = new Map<string, number>();
  const firstSeen = new Map<string, number>();
  const complained = new Set<string>();
  let isBusy = false;

  function noteMissing(
    service: string,
    member: Keeper,
    instances: readonly KnownInstance[],
  ): boolean {
    const key = `${service} ${member.address} ${member.incarnation}`;
    if (isSeen(member, instances)) {
      missingSince.delete(key);
      return false;
    }
    const since = missingSince.get(key) ?? timers.now();
    missingSince.set(key, since);
    return timers.now() - since >= missingGrace;
  }

  function noteFirst(service: string, count: number): boolean {
    if (count === 0) return false;
    const since = firstSeen.get(service) ?? timers.now();
    firstSeen.set(service, since);
    return timers.now() - since >= firstGrace;
  }

  function view(service: string): ServiceView {
    const {services, version} = machine.current();
    const current = services.get(service)?.keepers;
    const members = current?.members ?? [];
    const instances = endpoints.instances(service);
    const missing = members
      .filter(member => noteMissing(service, member, instances))
      .map(({address}) => address);
    return {
      service,
      current,
      instances,
      missing: new Set(missing),
      retention: options.retention,
      // Above every epoch of an earlier service of that name, too.
      nextEpoch: Math.max(version, current?.epoch ?? 0) + 1,
      isSettled: noteFirst(service, instances.length),
    };
  }

  /** Whether enough members hold claims in the set's epoch. */
  function isInForce(service: string, set: KeeperSet): Promise<boolean> {
    return new Promise(resolve => {
      const asking: Subscription[] = [];
      let active = 0;
      const end = (result: boolean) => {
        for (const subscription of asking) subscription.cancel();
        resolve(result);
      };
      asking.push(timers.after(inquiryTimeout, () => end(false)));
      for (const member of set.members) {
        const question = {kind: 'inquire', service} as const;
        const subscription = peers.ask(member, question, reply => {
          if (reply.kind !== 'standing' || !reply.active) return;
          if (reply.epoch !== set.epoch) return;
          active++;
          if (active >= majorityOf(set.members.length)) end(true);
        });
        asking.push(subscription);
      }
    });
  }

  function complain(service: string, missing: readonly string[]): void {
    if (complained.has(service)) return;
    complained.add(service);
    log.error('most keepers are out of sight; keyed work is refused', {
      service,
      missing: missing.join(', '),
      action: 'bring them back, or stop them and accept the loss',
    });
  }

  async function planOne(service: string): Promise<Edit | undefined> {
    const plan = planKeepers(view(service));
    if (plan.kind === 'stuck') complain(service, plan.missing);
    else complained.delete(service);
    if (plan.kind !== 'appoint') return undefined;
    const {next} = plan;
    // The next set copies claims from this one; a set that never came into
    // force has none to give, and a successor could never begin.
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

  async function look(): Promise<void> {
    if (consensus.status().role !== 'leader') return;
    const {version, services} = machine.current();
    const planned = await Promise.all([...services.keys()].map(planOne));
    const edits = planned.filter(edit => edit !== undefined);
    if (edits.length === 0) return;
    const answer = await propose(edits, version);
    // A change of operators came between; the next look plans on its result.
    if (answer.ok) {
      const {code, version: made} = answer.value;
      log.info('keepers appointed', {code, version: made});
    }
  }

  const ticking = timers.every(options.period ?? defaultPeriod, () => {
    if (isBusy) return;
    isBusy = true;
    void look().finally(() => (isBusy = false));
  });

  return {
    async acceptLoss(service) {
      const {version, services} = machine.current();
      const next = services.has(service)
        ? planAccepted(view(service))
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
      ticking.cancel();
      peers.stop();
    },
  };
}
