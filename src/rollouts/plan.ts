/** Decides the next step of a roll-out under way; has no state of its own. */
import {sum} from 'd3-array';
import type {Rollout, RouteShare} from '../configuration/configuration.js';
import {ended} from '../configuration/rollout-edits.js';
import type {Verdict} from './analysis.js';
import {emptyDurations, quantile} from './duration-buckets.js';
import type {RouteOutcomes, RouteTable} from './evidence.js';
import {totalAnswers} from './analysis.js';

/** How many requests a target may get before it is known to be good. */
export interface ExposureLimits {
  /** Share of the service's requests from the order to its deadline. */
  readonly share: number;
  /** Requests that are allowed in addition. */
  readonly slack: number;
}

/** The instances of one version that take requests. */
export interface VersionCapacity {
  readonly instances: number;
  readonly slots: number;
}

/** What the next step is decided on. */
export interface PlanInput {
  readonly rollout: Rollout;
  /** Milliseconds since the order. */
  readonly elapsed: number;
  /** Outcomes since the order. */
  readonly table: RouteTable;
  readonly verdict: Verdict;
  readonly target: VersionCapacity;
  readonly stable: VersionCapacity;
  /** Whether the target ever had an instance. */
  readonly hasTargetAppeared: boolean;
  /**
   * Whether every node sends the target all requests, and no request runs at a
   * stable version.
   */
  readonly isTakenOver: boolean;
  readonly limits: ExposureLimits;
}

/** Safeguards that a test can turn off to show their purpose. */
export interface PlanSafeguards {
  /** Completes only when no request runs at a stable version. */
  readonly takeover: boolean;
  /** Limits the requests that the target gets. */
  readonly budget: boolean;
  /** Judges the target. */
  readonly verdict: boolean;
}

const allSafeguards: PlanSafeguards = {
  takeover: true,
  budget: true,
  verdict: true,
};

/** Part of the allowance that is planned for; the rest covers late reports. */
const plannedPart = 0.8;

/** Least part of the planned requests that is spent before the switch. */
const trialPart = 0.4;

/** Milliseconds from a decision until it is in force and reported back. */
const settleTime = 500;

/** Least and greatest time, in milliseconds, that the switch may take. */
const minSwitchTime = 1_000;
const maxSwitchTime = 3_000;

/** Share of the target before it gets all requests, and for how long. */
const wideShare = 0.35;
const wideTime = 600;

/** Greatest part of a roll-out's duration that the switch may take. */
const maxSwitchPart = 0.3;

/** Share of the target on a route during the trial. */
const maxTrialShare = 0.5;
const minTrialShare = 0.002;

/** Share of the target before it is known how many requests there are. */
const firstShare = 0.01;

/** Number of busiest routes that get shares of their own. */
const maxRouteShares = 8;

/** Answers of the target without which it is not trusted. */
const minTrialAnswers = 20;

/** Part of all answers that is enough where there are few. */
const enoughPart = 0.05;

/** Capacity of the target, as a part of the stable one, for the switch. */
const enoughCapacity = 0.8;

/** Relative change of a share below which it is not put into force. */
const shareChange = 0.25;

/** Milliseconds after which the state is put even if it is unchanged. */
const checkpoint = 1_000;

/** Creates the next state; undefined to leave it as it is. */
export function planRollout(
  input: PlanInput,
  safeguards: PlanSafeguards = allSafeguards,
): Rollout | undefined {
  const {rollout, verdict} = input;
  if (safeguards.verdict && verdict.kind === 'bad') {
    return end(input, 'rolled-back', verdict.reason);
  }
  return rollout.phase === 'switching'
    ? planSwitching(input, safeguards)
    : planRunning(input, safeguards);
}

function planSwitching(
  input: PlanInput,
  safeguards: PlanSafeguards,
): Rollout | undefined {
  if (input.isTakenOver || !safeguards.takeover) {
    return end(input, 'completed', 'all requests go to the target');
  }
  if (input.target.instances === 0 && input.stable.instances > 0) {
    return end(input, 'rolled-back', 'the instances of the target are gone');
  }
  return undefined;
}

function planRunning(
  input: PlanInput,
  safeguards: PlanSafeguards,
): Rollout | undefined {
  const {elapsed, rollout} = input;
  const problem = findProblem(input);
  const {duration} = rollout.order!;
  if (problem !== undefined && elapsed >= duration) {
    return end(input, 'rolled-back', problem);
  }
  if (elapsed >= switchAt(input) && problem === undefined) {
    if (rollout.share < wideShare) return widen(input);
    if (elapsed - rollout.elapsed < wideTime) return undefined;
    return {
      ...advance(input),
      phase: 'switching',
      share: 1,
      routeShares: [],
      spread: input.target.instances,
      reason: 'nothing speaks against the target',
    };
  }
  const next = planTrial(input, safeguards);
  return isWorthPutting(rollout, next) ? next : undefined;
}

/**
 * The last step before the target gets everything: all its instances take part,
 * and a fault that only shows then costs a third of what it would.
 */
function widen(input: PlanInput): Rollout {
  return {
    ...advance(input),
    share: wideShare,
    routeShares: [],
    spread: input.target.instances,
    reason: 'nothing speaks against the target',
  };
}

/** Why the target may not take over now; undefined if it may. */
function findProblem(input: PlanInput): string | undefined {
  const {target, stable, verdict, table} = input;
  if (target.instances === 0) {
    return input.hasTargetAppeared
      ? 'the instances of the target are gone'
      : 'no instance of the target has come';
  }
  if (target.slots < stable.slots * enoughCapacity) {
    return `the target has ${target.slots} slots where ${stable.slots} are in use`;
  }
  if (verdict.kind === 'suspect') return verdict.reason;
  const answers = sum(table.values(), ({targets}) =>
    totalAnswers(targets.values()),
  );
  const all = answers + sum(table.values(), ({stable: {answers}}) => answers);
  const enough = Math.min(minTrialAnswers, all * enoughPart);
  if (answers >= enough) return undefined;
  return `the target has answered ${answers} requests, too few to compare`;
}

/** Milliseconds after the order at which the target should get all requests. */
function switchAt(input: PlanInput): number {
  return input.rollout.order!.duration - switchTime(input);
}

/** How long the switch takes: until it is in force and running work has ended. */
function switchTime({rollout, table}: PlanInput): number {
  const durations = emptyDurations();
  for (const {stable} of table.values()) {
    stable.durations.forEach((count, bucket) => (durations[bucket]! += count));
  }
  const longest = Math.min(
    maxSwitchTime,
    maxSwitchPart * rollout.order!.duration,
  );
  const needed = wideTime + settleTime + quantile(durations, 0.99);
  return Math.max(Math.min(minSwitchTime, longest), Math.min(longest, needed));
}

function planTrial(input: PlanInput, safeguards: PlanSafeguards): Rollout {
  const {table, target} = input;
  if (target.instances === 0) {
    return {...advance(input), share: 0, routeShares: [], spread: 0};
  }
  const shares = planShares(input, safeguards);
  const overall = overallShare(table, shares);
  const routeShares = shares.slice(0, maxRouteShares);
  const share = Math.min(...shares.map(each => each.share), firstShare);
  // Rounded down, so that an instance has at least the work that it will have.
  const spread = Math.max(1, Math.floor(target.instances * overall));
  return {
    ...advance(input),
    share,
    routeShares,
    spread: Math.min(target.instances, spread),
    offset: nextOffset(input),
  };
}

/** Other instances take the share in turn, so that each is tried. */
function nextOffset({rollout, elapsed, target}: PlanInput): number {
  const {offset, spread} = rollout;
  if (elapsed - rollout.elapsed < checkpoint) return offset;
  return (offset + spread) % target.instances;
}

/**
 * Divides what is left to spend among the routes, so that a route with few
 * requests gives as much evidence as a busy one.
 */
function planShares(
  input: PlanInput,
  safeguards: PlanSafeguards,
): RouteShare[] {
  const {table, elapsed} = input;
  const left = Math.max(settleTime, switchAt(input) - elapsed);
  const routes = [...table]
    .map(([route, outcomes]) => ({
      route,
      expected: (totalSent(outcomes) / Math.max(elapsed, settleTime)) * left,
    }))
    .filter(({expected}) => expected > 0)
    .sort((a, b) => a.expected - b.expected);
  let budget = safeguards.budget ? trialBudget(input) : Infinity;
  return routes
    .map(({route, expected}, index) => {
      const part = budget / (routes.length - index);
      const wanted = Math.min(maxTrialShare, part / expected);
      const share = Math.max(minTrialShare, wanted);
      budget = Math.max(0, budget - share * expected);
      return {route, share};
    })
    .reverse();
}

/** Requests that the target may still get before the switch. */
function trialBudget(input: PlanInput): number {
  const {table, elapsed, limits} = input;
  const {duration} = input.rollout.order!;
  const sent = sum(table.values(), totalSent);
  const perSecond = (1_000 * sent) / Math.max(elapsed, settleTime);
  const left = Math.max(0, duration - elapsed) / 1_000;
  const expected = sent + perSecond * left;
  const planned = plannedPart * (limits.share * expected + limits.slack);
  const reserved = (perSecond * switchTime(input)) / 1_000;
  const budget = Math.max(trialPart * planned, planned - reserved);
  return budget - sum(table.values(), targetSent);
}

function targetSent({targets}: RouteOutcomes): number {
  return sum(targets.values(), ({sent}) => sent);
}

function totalSent(outcomes: RouteOutcomes): number {
  return outcomes.stable.sent + targetSent(outcomes);
}

function overallShare(
  table: RouteTable,
  shares: readonly RouteShare[],
): number {
  const sent = sum(table.values(), totalSent);
  if (sent === 0) return firstShare;
  const byRoute = new Map(shares.map(({route, share}) => [route, share]));
  const toTarget = sum(
    table,
    ([route, outcomes]) => totalSent(outcomes) * (byRoute.get(route) ?? 0),
  );
  return toTarget / sent;
}

function advance({rollout, elapsed}: PlanInput): Rollout {
  return {...rollout, elapsed: Math.round(elapsed)};
}

function end(
  input: PlanInput,
  phase: 'completed' | 'rolled-back',
  reason: string,
): Rollout {
  return ended(advance(input), phase, reason.slice(0, 512));
}

function isWorthPutting(before: Rollout, next: Rollout): boolean {
  if (next.elapsed - before.elapsed >= checkpoint) return true;
  if ((before.spread === 0) !== (next.spread === 0)) return true;
  if (isOtherShare(before.share, next.share)) return true;
  const shares = new Map(
    before.routeShares.map(({route, share}) => [route, share]),
  );
  return next.routeShares.some(({route, share}) =>
    isOtherShare(shares.get(route) ?? before.share, share),
  );
}

function isOtherShare(before: number, next: number): boolean {
  return Math.abs(next - before) > shareChange * Math.max(before, next);
}
