/** Chooses keeper sets; a plain decision from what the leader sees. */
import murmurhash from 'murmurhash';
import {isSameIncarnation} from '../claims/service-claims.js';
import {majorityOf} from '../claims/vote-count.js';
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {KnownInstance} from '../endpoints/messages.js';

/** Keepers of a full set: one may fail without anyone noticing. */
const fullSet = 3;

/**
 * Milliseconds for which a vote of a keeper that died may still count at a gate
 * that waits for a second one; gates give votes up after 1 s.
 */
const lateVotes = 5000;

/** Milliseconds that a set waits after most of the one before was lost. */
export function quarantineFor(retention: number): number {
  return retention + lateVotes;
}

/** What the leader sees of one service. */
export interface ServiceView {
  readonly service: string;
  readonly current: KeeperAssignment | undefined;
  readonly instances: readonly KnownInstance[];
  /** Addresses of members whose lives have been unseen for long enough. */
  readonly missing: ReadonlySet<string>;
  /** Milliseconds for which claims are kept. */
  readonly retention: number;
  /** An epoch above all that the service ever had. */
  readonly nextEpoch: number;
  /** Whether the first instances have had time to appear. */
  readonly isSettled: boolean;
}

/**
 * What to do about a service's keepers.
 * - `appoint`: the set is to be put; `needs` says which set must hold claims.
 * - `stuck`: most members can't be reached and may still be alive.
 */
export type Plan =
  | {readonly kind: 'none'}
  | {readonly kind: 'appoint'; readonly next: KeeperAssignment}
  | {readonly kind: 'stuck'; readonly missing: readonly string[]};

/** Decides about one service. */
export function planKeepers(view: ServiceView): Plan {
  if (view.current === undefined) return planFirst(view);
  const {current, instances} = view;
  const known = new Map(instances.map(one => [one.keeper?.address, one]));
  const lost = current.members.filter(member => isLost(member, known));
  const gone = current.members.filter(
    member => !lost.includes(member) && view.missing.has(member.address),
  );
  const size = current.members.length;
  const spare = size - majorityOf(size);
  if (lost.length > spare) return planAfterLoss(view, current);
  if (lost.length + gone.length > spare) {
    return {kind: 'stuck', missing: [...lost, ...gone].map(nameOf)};
  }
  return planChange(view, current, [...lost, ...gone]);
}

/** The set after an operator accepted the loss of the current one's claims. */
export function planAccepted(view: ServiceView): KeeperAssignment | undefined {
  const members = choose([], candidatesOf(view), fullSet);
  if (members.length === 0) return undefined;
  return {epoch: view.nextEpoch, members};
}

function planFirst(view: ServiceView): Plan {
  const candidates = candidatesOf(view);
  const wanted = candidates.length >= fullSet ? fullSet : 1;
  if (candidates.length === 0 || !view.isSettled) return {kind: 'none'};
  const members = choose([], candidates, wanted);
  return {kind: 'appoint', next: {epoch: view.nextEpoch, members}};
}

/**
 * Most members are certainly gone, with what they alone knew. No majority of
 * the old set can ever form again, so once the retention time has passed no
 * claim of it can matter.
 */
function planAfterLoss(view: ServiceView, current: KeeperAssignment): Plan {
  const candidates = candidatesOf(view);
  const members = choose([], candidates, fullSet);
  const isWorse = members.length < Math.min(fullSet, current.members.length);
  if (members.length === 0 || isWorse) return {kind: 'none'};
  const {nextEpoch: epoch} = view;
  const quarantine = quarantineFor(view.retention);
  return {kind: 'appoint', next: {epoch, members, quarantine}};
}

/** Replaces one bad member, fills an incomplete set, or spreads it better. */
function planChange(
  view: ServiceView,
  current: KeeperAssignment,
  bad: readonly Keeper[],
): Plan {
  const leaving = bad[0] ?? findLeaving(view, current);
  const isFull = current.members.length >= fullSet;
  // Nearly all services are here at nearly every look: no more work for them.
  if (leaving === undefined && isFull) return {kind: 'none'};
  const candidates = candidatesOf(view);
  const staying = current.members.filter(member => member !== leaving);
  const fresh = candidates.filter(
    candidate => !staying.some(member => isSameIncarnation(member, candidate)),
  );
  const canFill = staying.length + fresh.length >= fullSet;
  if (leaving === undefined && !canFill) return {kind: 'none'};
  const size = isFull || canFill ? fullSet : current.members.length;
  const members = choose(staying, fresh, size);
  if (members.length < size) return {kind: 'none'};
  const previous = {epoch: current.epoch, members: current.members};
  return {
    kind: 'appoint',
    next: {epoch: view.nextEpoch, members, previous},
  };
}

/** A member that leaves in good order, or shares its failure domain needlessly. */
function findLeaving(
  view: ServiceView,
  {members}: KeeperAssignment,
): Keeper | undefined {
  const draining = members.find(member =>
    view.instances.some(
      one => one.keeper?.address === member.address && one.state === 'draining',
    ),
  );
  if (draining !== undefined) return draining;
  const domains = new Set(members.map(({failureDomain}) => failureDomain));
  if (domains.size === members.length) return undefined;
  const isFree = view.instances.some(
    one => isCandidate(one) && !domains.has(one.failureDomain),
  );
  if (!isFree) return undefined;
  return members.find((member, index) =>
    members
      .slice(0, index)
      .some(other => other.failureDomain === member.failureDomain),
  );
}

/** Adds to `staying` the best of `fresh`, unused failure domains first. */
function choose(
  staying: readonly Keeper[],
  fresh: readonly Keeper[],
  size: number,
): Keeper[] {
  const chosen = [...staying];
  const left = [...fresh];
  while (chosen.length < size && left.length > 0) {
    const used = new Set(chosen.map(({failureDomain}) => failureDomain));
    const free = left.findIndex(({failureDomain}) => !used.has(failureDomain));
    chosen.push(...left.splice(Math.max(free, 0), 1));
  }
  return chosen;
}

/** Instances that can hold claims, in an order of the service's own. */
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
 * Its node has begun a later life at the same address: what the member held is
 * certainly lost. Nothing else proves it. An announcement of an earlier life is
 * only late, and one from another address may be of a VM that took the place of
 * one that is cut off and goes on voting.
 */
function isLost(
  member: Keeper,
  known: ReadonlyMap<string | undefined, KnownInstance>,
): boolean {
  const keeper = known.get(member.address)?.keeper;
  return keeper !== undefined && keeper.incarnation > member.incarnation;
}

/** Whether an announcement is of the member's own life. */
export function isSeen(
  member: Keeper,
  instances: readonly KnownInstance[],
): boolean {
  return instances.some(
    ({keeper}) =>
      keeper?.address === member.address &&
      keeper.incarnation === member.incarnation,
  );
}

function nameOf({instance}: Keeper): string {
  return instance;
}
