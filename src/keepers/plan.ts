/**
 * Chooses the keepers of a service from the leader's view of its instances,
 * without side effects.
 */
import murmurhash from 'murmurhash';
import {isSameIncarnation} from '../claims/service-claims.js';
import {majorityOf} from '../claims/vote-count.js';
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {KnownInstance} from '../endpoints/messages.js';

/** Number of keepers in a full set; one may fail without any effect on callers. */
const fullSetSize = 3;

/**
 * Milliseconds for which the vote of a crashed keeper may still be counted by a
 * gate that waits for a second vote; gates discard votes after 1 s.
 */
const lateVoteTime = 5000;

/**
 * Milliseconds that a set waits before it holds claims, after a majority of the
 * previous set was lost.
 */
export function quarantineDuration(retention: number): number {
  return retention + lateVoteTime;
}

/** The leader's view of one service. */
export interface ServiceView {
  readonly service: string;
  readonly current: KeeperAssignment | undefined;
  readonly instances: readonly KnownInstance[];
  /** Addresses of members that have been absent for the timeout. */
  readonly missing: ReadonlySet<string>;
  /** Milliseconds for which keepers retain claims. */
  readonly retention: number;
  /** An epoch above all previous epochs of the service. */
  readonly nextEpoch: number;
  /** Whether the service's first instances have had time to be announced. */
  readonly isSettled: boolean;
}

/**
 * The change of a service's keepers.
 * - `appoint`: put the next set into the configuration. If it has a `previous`
 *   set, that one must hold claims first.
 * - `stuck`: a majority of members is unreachable and may still be alive.
 */
export type KeeperPlan =
  | {readonly kind: 'none'}
  | {readonly kind: 'appoint'; readonly next: KeeperAssignment}
  | {readonly kind: 'stuck'; readonly missing: readonly string[]};

/** Plans the keepers of one service. */
export function planKeepers(view: ServiceView): KeeperPlan {
  if (view.current === undefined) return planFirst(view);
  const {current, instances} = view;
  const byAddress = new Map(
    instances.map(instance => [instance.keeper?.address, instance]),
  );
  const lost = current.members.filter(member => isLost(member, byAddress));
  const unreachable = current.members.filter(
    member => !lost.includes(member) && view.missing.has(member.address),
  );
  const size = current.members.length;
  const maxLost = size - majorityOf(size);
  if (lost.length > maxLost) return planAfterLoss(view, current);
  if (lost.length + unreachable.length > maxLost) {
    return {kind: 'stuck', missing: [...lost, ...unreachable].map(instanceOf)};
  }
  return planChange(view, current, [...lost, ...unreachable]);
}

/** The next set when an operator accepts the loss of the current set's claims. */
export function planAfterAcceptedLoss(
  view: ServiceView,
): KeeperAssignment | undefined {
  const members = chooseMembers([], candidatesOf(view), fullSetSize);
  if (members.length === 0) return undefined;
  return {epoch: view.nextEpoch, members};
}

function planFirst(view: ServiceView): KeeperPlan {
  const candidates = candidatesOf(view);
  const size = candidates.length >= fullSetSize ? fullSetSize : 1;
  if (candidates.length === 0 || !view.isSettled) return {kind: 'none'};
  const members = chooseMembers([], candidates, size);
  return {kind: 'appoint', next: {epoch: view.nextEpoch, members}};
}

/**
 * Plans a new set after a majority of members has certainly lost its claims. The
 * old set can never have a majority again, so its claims no longer matter once
 * the retention time has passed.
 */
function planAfterLoss(
  view: ServiceView,
  current: KeeperAssignment,
): KeeperPlan {
  const candidates = candidatesOf(view);
  const members = chooseMembers([], candidates, fullSetSize);
  const isSmaller =
    members.length < Math.min(fullSetSize, current.members.length);
  if (members.length === 0 || isSmaller) return {kind: 'none'};
  const {nextEpoch: epoch} = view;
  const quarantine = quarantineDuration(view.retention);
  return {kind: 'appoint', next: {epoch, members, quarantine}};
}

/**
 * Replaces one unusable member, completes a set, or spreads it over more failure
 * domains.
 */
function planChange(
  view: ServiceView,
  current: KeeperAssignment,
  unusable: readonly Keeper[],
): KeeperPlan {
  const leaving = unusable[0] ?? findLeaving(view, current);
  const isFull = current.members.length >= fullSetSize;
  // Most services return here at every check, so nothing else is computed first.
  if (leaving === undefined && isFull) return {kind: 'none'};
  const candidates = candidatesOf(view);
  const staying = current.members.filter(member => member !== leaving);
  const replacements = candidates.filter(
    candidate => !staying.some(member => isSameIncarnation(member, candidate)),
  );
  const canFill = staying.length + replacements.length >= fullSetSize;
  if (leaving === undefined && !canFill) return {kind: 'none'};
  const size = isFull || canFill ? fullSetSize : current.members.length;
  const members = chooseMembers(staying, replacements, size);
  if (members.length < size) return {kind: 'none'};
  const previous = {epoch: current.epoch, members: current.members};
  return {
    kind: 'appoint',
    next: {epoch: view.nextEpoch, members, previous},
  };
}

/** Finds a member that is draining or needlessly shares a failure domain. */
function findLeaving(
  view: ServiceView,
  {members}: KeeperAssignment,
): Keeper | undefined {
  const draining = members.find(member =>
    view.instances.some(
      instance =>
        instance.keeper?.address === member.address &&
        instance.state === 'draining',
    ),
  );
  if (draining !== undefined) return draining;
  const domains = new Set(members.map(({failureDomain}) => failureDomain));
  if (domains.size === members.length) return undefined;
  const isSpreadable = view.instances.some(
    instance => isCandidate(instance) && !domains.has(instance.failureDomain),
  );
  if (!isSpreadable) return undefined;
  return members.find((member, index) =>
    members
      .slice(0, index)
      .some(other => other.failureDomain === member.failureDomain),
  );
}

/** Adds candidates to the staying members, preferring unused failure domains. */
function chooseMembers(
  staying: readonly Keeper[],
  candidates: readonly Keeper[],
  size: number,
): Keeper[] {
  const chosen = [...staying];
  const remaining = [...candidates];
  while (chosen.length < size && remaining.length > 0) {
    const used = new Set(chosen.map(({failureDomain}) => failureDomain));
    const index = remaining.findIndex(
      ({failureDomain}) => !used.has(failureDomain),
    );
    chosen.push(...remaining.splice(Math.max(index, 0), 1));
  }
  return chosen;
}

/** Instances that can hold claims, in an order that differs between services. */
function candidatesOf({service, instances}: ServiceView): Keeper[] {
  return instances
    .filter(isCandidate)
    .map(({instance, failureDomain, keeper}) => ({
      instance,
      incarnation: keeper!.incarnation,
      address: keeper!.address,
      failureDomain,
    }))
    .sort(
      (left, right) =>
        murmurhash.v3(`${service} ${left.instance}`) -
        murmurhash.v3(`${service} ${right.instance}`),
    );
}

function isCandidate({state, keeper, suspect}: KnownInstance): boolean {
  if (keeper === undefined || suspect === true) return false;
  return state === 'serving' || state === 'warming';
}

/**
 * Whether a member has certainly lost its claims: its node has announced a later
 * incarnation at the same address. Nothing else proves the loss. An announcement
 * of an earlier incarnation is only late. One from another address may belong to
 * a VM that replaced one that is partitioned and continues to vote.
 */
function isLost(
  member: Keeper,
  byAddress: ReadonlyMap<string | undefined, KnownInstance>,
): boolean {
  const keeper = byAddress.get(member.address)?.keeper;
  return keeper !== undefined && keeper.incarnation > member.incarnation;
}

/** Whether the member's own incarnation is announced. */
export function isAnnounced(
  member: Keeper,
  instances: readonly KnownInstance[],
): boolean {
  return instances.some(
    ({keeper}) =>
      keeper?.address === member.address &&
      keeper.incarnation === member.incarnation,
  );
}

function instanceOf({instance}: Keeper): string {
  return instance;
}
