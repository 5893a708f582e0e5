/** Applies orders of roll-outs, and the leader's steps of those under way. */
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {configurationCodes as codes} from './codes.js';
import {isUnderWay} from './configuration.js';
import type {Rollout, RolloutOrder} from './configuration.js';
import type {RollBack, StartRollout} from './messages.js';

/** The state after an order; the same object if the order changes nothing. */
export function startRollout(
  before: Rollout | undefined,
  edit: StartRollout,
): Result<Rollout> {
  const {service, target, duration} = edit;
  if (before !== undefined && isSameOrder(before, edit)) return success(before);
  if (before !== undefined && isUnderWay(before)) {
    const running = before.order?.target;
    const message = `${service} is being rolled out to ${running}`;
    return failure(codes.rolloutUnderWay, message);
  }
  const known = before?.stable ?? [];
  const stable = known.filter(version => version !== target);
  if (stable.length === 0 && known.length > 0) {
    const message = `${service} already runs at ${target}`;
    return failure(codes.alreadyStable, message);
  }
  const number = (before?.order?.number ?? 0) + 1;
  return success({
    name: service,
    stable,
    order: {target, duration, number},
    phase: 'running',
    elapsed: 0,
    ...noShare,
    reason: 'ordered',
  });
}

/** A target that gets no requests. */
const noShare = {share: 0, routeShares: [], spread: 0, offset: 0} as const;

/** The state of a service whose version is known and of which none is ordered. */
export function recordedVersion(service: string, version: string): Rollout {
  return {
    name: service,
    stable: [version],
    phase: 'idle',
    elapsed: 0,
    ...noShare,
    reason: 'the version of its first instances',
  };
}

/** Whether the order is a resend of the last one. */
function isSameOrder(
  before: Rollout,
  {target, duration, repeats}: StartRollout,
): boolean {
  const {order} = before;
  if (order?.target !== target || order.duration !== duration) return false;
  if (isUnderWay(before) || before.phase === 'completed') return true;
  return order.number === repeats;
}

/** The state after an operator has ended a roll-out. */
export function rollBack(
  before: Rollout | undefined,
  {service, reason}: RollBack,
): Result<Rollout> {
  if (before?.phase === 'rolled-back') return success(before);
  if (before === undefined || !isUnderWay(before)) {
    const message = `no version of ${service} is being rolled out`;
    return failure(codes.rolloutEnded, message);
  }
  return success(ended(before, 'rolled-back', reason));
}

/** A roll-out in one of its final states. */
export function ended(
  {name, stable, order, elapsed}: Rollout,
  phase: 'completed' | 'rolled-back',
  reason: string,
): Rollout {
  return {
    name,
    stable: phase === 'completed' ? [order!.target] : stable,
    order: order!,
    phase,
    elapsed,
    ...noShare,
    share: phase === 'completed' ? 1 : 0,
    reason,
  };
}

/**
 * Whether the leader's step may follow. A step that was prepared before another
 * order, or before the end of the roll-out, must not bring the earlier one back.
 */
export function checkStep(
  before: Rollout | undefined,
  next: Rollout,
): Result<void> {
  if (before === undefined && next.phase === 'idle') return success(undefined);
  const isCurrent =
    before !== undefined &&
    isUnderWay(before) &&
    isSameNumber(before.order, next.order) &&
    !(before.phase === 'switching' && next.phase === 'running');
  if (isCurrent) return success(undefined);
  const message = `the roll-out of ${next.name} has ended or was replaced`;
  return failure(codes.rolloutEnded, message);
}

function isSameNumber(
  left: RolloutOrder | undefined,
  right: RolloutOrder | undefined,
): boolean {
  return left !== undefined && left.number === right?.number;
}
