/**
 * One service's claims at one keeper, through the epochs of its keeper sets.
 *
 * A keeper votes only in the epoch in which it is active. To become active in
 * epoch E it seals a majority of E's predecessor, one of them active, and takes
 * over their claims. A claim granted before had a majority; each sealed
 * majority shares a keeper with it, and that keeper voted before it was sealed.
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

/** Where a keeper is with one service. */
type Stage = 'idle' | 'syncing' | 'quarantined' | 'active' | 'sealed';

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

/** The safeguards that a test may take out, to show what they are for. */
export interface KeeperSafeguards {
  /** A keeper answers only for its own life. */
  readonly incarnation: boolean;
  /** The predecessor's claims are sealed and copied before the first vote. */
  readonly handover: boolean;
  /** A sealed keeper votes no more in the epoch, nor becomes active in it. */
  readonly seal: boolean;
  /** One of the sealed keepers was active in the epoch. */
  readonly active: boolean;
  /** A keeper votes only for gates that ask in its own epoch. */
  readonly epoch: boolean;
}

export const allKeeperSafeguards: KeeperSafeguards = {
  incarnation: true,
  handover: true,
  seal: true,
  active: true,
  epoch: true,
};

/** What a tenure is made of. */
export interface ServiceClaimsOptions {
  readonly service: string;
  readonly self: Keeper;
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  readonly createTable: () => ClaimTable;
  /** Milliseconds for which a former member can still be asked. */
  readonly retention: number;
  readonly safeguards: KeeperSafeguards;
}

/** One service's claims at one keeper. */
export interface ServiceClaims {
  adopt(assignment: KeeperAssignment): void;
  vote(acquire: Acquire, watcher: Watcher): Vote;
  /** False when the keeper holds no claims of the service. */
  settle(settle: Settle): boolean;
  /** Ends an epoch here and gives its claims. */
  seal(epoch: number, successor: KeeperAssignment): SealedClaims;
  status(): KeeperStatus;
  sweep(): void;
  stop(): void;
  /** Whether it is, or is becoming, one of the service's keepers. */
  isMember(): boolean;
  /** Whether it is no member and nothing is lost by forgetting it. */
  isRemovable(): boolean;
  readonly size: number;
}

/** What a sealed keeper hands over. */
export interface SealedClaims extends Pick<SealedPage, 'active' | 'quarantine'> {
  readonly records: Iterable<ClaimRecord>;
}

/** Creates the tenure of a service in which the keeper holds nothing yet. */
export function createServiceClaims(options: ServiceClaimsOptions): ServiceClaims {
  const {service, self, keeperClient: peers, timers, safeguards} = options;
  const actor = interpret(machine, () => {});
  const table = options.createTable();
  let epoch = 0;
  /** The newest set that it knows. */
  let latest: KeeperAssignment | undefined;
  /** The last epoch in which it held claims. */
  let activeEpoch = 0;
  /** The last epoch that it promised not to vote in any more. */
  let sealedEpoch = 0;
  let openAt = 0;
  let leftAt: number | undefined;
  let asked: Subscription[] = [];

  function isSelf(member: Keeper): boolean {
    if (safeguards.incarnation) return isSameIncarnation(member, self);
    return member.address === self.address;
  }

  const stage = () => actor.machine.current as Stage;
  const quarantineLeft = () => Math.max(0, openAt - timers.now());

  function cancelAsked(): void {
    for (const subscription of asked) subscription.cancel();
    asked = [];
  }

  function activate(quarantine: number): void {
    cancelAsked();
    if (safeguards.seal && sealedEpoch >= epoch) return actor.send('seal');
    activeEpoch = epoch;
    openAt = timers.now() + quarantine;
    if (quarantine === 0) return actor.send('activate');
    actor.send('wait');
    asked.push(timers.after(quarantine, () => actor.send('activate')));
  }

  /** Seals the previous set and takes its claims over. */
  function succeed(previous: KeeperSet, successor: KeeperAssignment): void {
    const own = () => ({
      active: activeEpoch >= previous.epoch,
      quarantine: quarantineLeft(),
    });
    const succession = startHandover({
      service,
      previous,
      successor,
      ownState: member => (isSelf(member) ? own() : undefined),
      keeperClient: peers,
      timers,
      needsActive: safeguards.active,
      merge: records => table.merge(records),
      done(quarantine) {
        table.sort();
        activate(quarantine);
      },
    });
    asked.push(succession);
  }

  function adopt(assignment: KeeperAssignment): void {
    if (assignment.epoch <= epoch) return;
    cancelAsked();
    epoch = assignment.epoch;
    latest = assignment;
    if (!assignment.members.some(isSelf)) {
      leftAt = timers.now();
      return actor.send('seal');
    }
    leftAt = undefined;
    const {previous} = assignment;
    // Its claims stay, also when it was no member meanwhile: keepers that are
    // still about to succeed an earlier epoch ask for what it held then.
    actor.send('adopt');
    if (previous === undefined) return activate(assignment.quarantine ?? 0);
    if (safeguards.handover) succeed(previous, assignment);
    else activate(0);
  }

  function toStale(acquire: Acquire): Vote {
    const isBehind = latest !== undefined && acquire.epoch < epoch;
    return isBehind ? {kind: 'stale', newer: latest!} : {kind: 'stale'};
  }

  return {
    adopt,
    vote(acquire, watcher) {
      const isOther = acquire.epoch !== epoch;
      if (safeguards.epoch && isOther) return toStale(acquire);
      if (stage() === 'active') return table.vote(acquire, watcher);
      if (stage() !== 'quarantined') return {kind: 'stale'};
      return {kind: 'quarantined', left: quarantineLeft()};
    },
    settle(settle) {
      if (epoch === 0) return false;
      table.settle(settle);
      return true;
    },
    seal(sealed, successor) {
      sealedEpoch = Math.max(sealedEpoch, sealed);
      const ends = sealedEpoch >= epoch && stage() !== 'syncing';
      if (safeguards.seal && ends) actor.send('seal');
      const active = activeEpoch >= sealed;
      const given = {
        active,
        quarantine: quarantineLeft(),
        records: active ? table.records() : [],
      };
      // It may be cut off from control; its part in the next set needs no wait.
      if (safeguards.seal) adopt(successor);
      return given;
    },
    status() {
      const isHolding = stage() === 'active' || stage() === 'quarantined';
      return {kind: 'standing', epoch, active: isHolding};
    },
    sweep: () => table.sweep(),
    stop: cancelAsked,
    isMember: () => epoch > 0 && leftAt === undefined,
    isRemovable() {
      // A promise not to vote in an epoch that is yet to be learned of must
      // not be forgotten: the keeper would become active in it after all.
      if (leftAt === undefined || sealedEpoch > epoch) return false;
      return leftAt + options.retention <= timers.now();
    },
    get size() {
      return table.size;
    },
  };
}

/**
 * Whether two descriptions mean one life of one node. The instance's id is no
 * part of it: the upstream may choose it after the keeper has begun, and a
 * keeper that did not know itself in its set would never vote.
 */
export function isSameIncarnation(left: Keeper, right: Keeper): boolean {
  if (left.address !== right.address) return false;
  return left.incarnation === right.incarnation;
}
