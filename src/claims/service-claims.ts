/**
 * One service's claims at one keeper, across the epochs of its keeper sets.
 *
 * A keeper votes only in the epoch in which it is active. To become active in
 * epoch E, it seals a majority of the previous epoch's keepers, at least one of
 * them active, and copies their claims. A claim granted in the previous epoch
 * had the votes of a majority. The sealed majority shares at least one keeper
 * with it, and that keeper voted before it was sealed, so its claims include
 * the granted one.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import type {
  Keeper,
  KeeperAssignment,
  KeeperSet,
} from '../configuration/configuration.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {ClaimTable, Watcher} from './claim-table.js';
import type {
  Acquire,
  ClaimRecord,
  SealedPage,
  Settle,
  KeeperStatus,
  Vote,
} from './messages.js';
import type {KeeperClient} from './keeper-client.js';
import {startHandover} from './handover.js';

/** The phase of a keeper for one service. */
type Phase = 'idle' | 'syncing' | 'quarantined' | 'active' | 'sealed';

const machine = createMachine('idle', {
  idle: state(transition('adopt', 'syncing'), transition('seal', 'sealed')),
  syncing: state(
    transition('adopt', 'syncing'),
    transition('activate', 'active'),
    transition('wait', 'quarantined'),
    transition('seal', 'sealed'),
  ),
  quarantined: state(
    transition('adopt', 'syncing'),
    transition('activate', 'active'),
    transition('seal', 'sealed'),
  ),
  active: state(transition('adopt', 'syncing'), transition('seal', 'sealed')),
  sealed: state(transition('adopt', 'syncing'), transition('seal', 'sealed')),
});

/** Safeguards that a test can turn off to show their purpose. */
export interface KeeperSafeguards {
  /** A keeper answers only messages to its own incarnation. */
  readonly incarnation: boolean;
  /**
   * The previous set is sealed and its claims are copied before the first vote.
   */
  readonly handover: boolean;
  /** A sealed keeper neither votes in the epoch nor becomes active in it. */
  readonly seal: boolean;
  /** At least one of the sealed keepers was active in the epoch. */
  readonly active: boolean;
  /** A keeper votes only for gates that use its own epoch. */
  readonly epoch: boolean;
}

export const allKeeperSafeguards: KeeperSafeguards = {
  incarnation: true,
  handover: true,
  seal: true,
  active: true,
  epoch: true,
};

/** Options of `createServiceClaims`. */
export interface ServiceClaimsOptions {
  readonly service: string;
  readonly self: Keeper;
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  readonly createTable: () => ClaimTable;
  /** Time for which a former member still answers, in milliseconds. */
  readonly retention: number;
  readonly safeguards: KeeperSafeguards;
}

/** One service's claims at one keeper. */
export interface ServiceClaims {
  /** Takes a newer keeper set; ignores an older one. */
  adopt(assignment: KeeperAssignment): void;
  vote(acquire: Acquire, watcher: Watcher): Vote;
  /**
   * Records how a claim ended; false if the keeper never had a set of the
   * service.
   */
  settle(settle: Settle): boolean;
  /** Ends an epoch at this keeper and returns its claims. */
  seal(epoch: number, successor: KeeperAssignment): SealedClaims;
  standing(): KeeperStatus;
  sweep(): void;
  stop(): void;
  /** Whether this keeper is a member of the newest set that it knows. */
  isMember(): boolean;
  /** Whether the claims can be removed: no keeper can need them or the seal. */
  isRemovable(): boolean;
  readonly size: number;
}

/** Claims and state that a sealed keeper hands over. */
export interface SealedClaims extends Pick<
  SealedPage,
  'active' | 'quarantine'
> {
  readonly records: Iterable<ClaimRecord>;
}

/** Creates the claims of a service, which are empty at first. */
export function createServiceClaims(
  options: ServiceClaimsOptions,
): ServiceClaims {
  const {service, self, keeperClient, timers, safeguards} = options;
  const actor = interpret(machine, () => {});
  const table = options.createTable();
  let epoch = 0;
  /** The newest set that this keeper knows. */
  let latest: KeeperAssignment | undefined;
  /** The last epoch in which this keeper held claims. */
  let activeEpoch = 0;
  /** The last epoch sealed at this keeper; it votes in none up to it. */
  let sealedEpoch = 0;
  let quarantineEnd = 0;
  /** Time at which this keeper received a set without itself. */
  let leftAt: number | undefined;
  let subscriptions: Subscription[] = [];

  function isSelf(member: Keeper): boolean {
    if (safeguards.incarnation) return isSameIncarnation(member, self);
    return member.address === self.address;
  }

  const phase = () => actor.machine.current as Phase;
  const remainingQuarantine = () => Math.max(0, quarantineEnd - timers.now());

  function cancelSubscriptions(): void {
    for (const subscription of subscriptions) subscription.cancel();
    subscriptions = [];
  }

  function activate(quarantine: number): void {
    cancelSubscriptions();
    if (safeguards.seal && sealedEpoch >= epoch) return actor.send('seal');
    activeEpoch = epoch;
    quarantineEnd = timers.now() + quarantine;
    if (quarantine === 0) return actor.send('activate');
    actor.send('wait');
    subscriptions.push(timers.after(quarantine, () => actor.send('activate')));
  }

  /** Seals the previous set and copies its claims. */
  function takeOver(previous: KeeperSet, successor: KeeperAssignment): void {
    const getOwnState = () => ({
      active: activeEpoch >= previous.epoch,
      quarantine: remainingQuarantine(),
    });
    const handover = startHandover({
      service,
      previous,
      successor,
      ownState: member => (isSelf(member) ? getOwnState() : undefined),
      keeperClient,
      timers,
      needsActive: safeguards.active,
      merge: records => table.merge(records),
      done(quarantine) {
        table.sort();
        activate(quarantine);
      },
    });
    subscriptions.push(handover);
  }

  function adopt(assignment: KeeperAssignment): void {
    if (assignment.epoch <= epoch) return;
    cancelSubscriptions();
    epoch = assignment.epoch;
    latest = assignment;
    if (!assignment.members.some(isSelf)) {
      leftAt = timers.now();
      return actor.send('seal');
    }
    leftAt = undefined;
    const {previous} = assignment;
    // The claims stay in the table even if this keeper was no member in
    // between: keepers that still take over an earlier epoch ask for its
    // claims.
    actor.send('adopt');
    if (previous === undefined) return activate(assignment.quarantine ?? 0);
    if (safeguards.handover) takeOver(previous, assignment);
    else activate(0);
  }

  function toStale(acquire: Acquire): Vote {
    const isOldEpoch = latest !== undefined && acquire.epoch < epoch;
    return isOldEpoch ? {kind: 'stale', newer: latest!} : {kind: 'stale'};
  }

  return {
    adopt,
    vote(acquire, watcher) {
      const isOtherEpoch = acquire.epoch !== epoch;
      if (safeguards.epoch && isOtherEpoch) return toStale(acquire);
      if (phase() === 'active') return table.vote(acquire, watcher);
      if (phase() !== 'quarantined') return {kind: 'stale'};
      return {kind: 'quarantined', left: remainingQuarantine()};
    },
    settle(settle) {
      if (epoch === 0) return false;
      table.settle(settle);
      return true;
    },
    seal(sealed, successor) {
      sealedEpoch = Math.max(sealedEpoch, sealed);
      const isEnded = sealedEpoch >= epoch && phase() !== 'syncing';
      if (safeguards.seal && isEnded) actor.send('seal');
      const active = activeEpoch >= sealed;
      const result = {
        active,
        quarantine: remainingQuarantine(),
        records: active ? table.records() : [],
      };
      // This keeper may be cut off from control, so it adopts the set right
      // away.
      if (safeguards.seal) adopt(successor);
      return result;
    },
    standing() {
      const isHolding = phase() === 'active' || phase() === 'quarantined';
      return {kind: 'standing', epoch, active: isHolding};
    },
    sweep: () => table.sweep(),
    stop: cancelSubscriptions,
    isMember: () => epoch > 0 && leftAt === undefined,
    isRemovable() {
      // The keeper may be sealed in an epoch whose set it does not know yet. If
      // the seal were removed, it could become active in that epoch.
      if (leftAt === undefined || sealedEpoch > epoch) return false;
      return leftAt + options.retention <= timers.now();
    },
    get size() {
      return table.size;
    },
  };
}

/**
 * Whether two descriptions mean the same incarnation of the same node. The
 * instance's id is not compared: the upstream may choose it after the keeper
 * has started, and a keeper that did not recognize itself in its set would
 * never vote.
 */
export function isSameIncarnation(left: Keeper, right: Keeper): boolean {
  if (left.address !== right.address) return false;
  return left.incarnation === right.incarnation;
}
