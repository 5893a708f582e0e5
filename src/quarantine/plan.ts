/**
 * What becomes of requests under which instances end. All that ran at a crash
 * is suspect, so one crash blames nobody: from the second on all nodes watch
 * the request, any answer clears it, and after the third it is held unless it
 * was answered meanwhile. A held request gets a few trials, so that a refusal
 * ends when the instances no longer crash.
 */
import type {Quarantine} from '../configuration/configuration.js';
import type {SuspectRecord} from './suspect-table.js';

/** What is known of one request when its treatment is decided. */
export interface PlanInput {
  /** The quarantine in force; undefined before the first. */
  readonly quarantine: Quarantine | undefined;
  /** What was heard of it; undefined after a restart. */
  readonly record: SuspectRecord | undefined;
  /** Whether its service is in force. */
  readonly hasService: boolean;
  /** Lives of its service's instances that take work; for held ones only. */
  readonly servingIncarnations: readonly string[];
  /** Whether the trial's instance ended, under whatever ran. */
  readonly hasTrialInstanceEnded: boolean;
  /** Milliseconds since the quarantine took its state; 0 before the first. */
  readonly age: number;
  /** Milliseconds since the epoch, for people only: the clock may jump. */
  readonly wall: number;
}

/** How a request is to be treated: a new quarantine, none, or as it is. */
export type Plan =
  | {readonly kind: 'put'; readonly quarantine: Quarantine}
  | {readonly kind: 'remove'; readonly reason: RemovalReason}
  | {readonly kind: 'keep'};

/** Why a quarantine ends. */
export type RemovalReason = 'answered' | 'expired' | 'no service' | 'no room';

/** Crashes from which on all nodes watch a request. */
const watchedFrom = 2;

/** Crashes from which on it is held. */
const heldFrom = 3;

/**
 * Milliseconds for which nodes watch it at least before it is held: instances
 * may crash together while a request is under way at each of them, and its
 * answers elsewhere take this long to be heard of.
 */
const shortestWatch = 1_000;

/** Milliseconds after which a watched request is forgotten. */
const longestWatch = 600_000;

/**
 * Milliseconds from when it was held to each trial. The first comes soon, for a
 * request that was blamed wrongly; each costs an instance if it was not.
 */
const trialDelays: readonly number[] = [3_000, 600_000, 3_600_000];

/** Milliseconds after which a held request that nobody tried is forgotten. */
const longestHold = 86_400_000;

/** Lives that ended which a quarantine tells of. */
const toldLives = 8;

const keep: Plan = {kind: 'keep'};

/** Safeguards that a test may take out to show what they are for. */
export interface QuarantineSafeguards {
  /** A request is watched for a while before it is held. */
  readonly watch: boolean;
}

/** What a process runs with. */
export const allQuarantineSafeguards: QuarantineSafeguards = {watch: true};

/** Decides how one request is to be treated. */
export function planQuarantine(
  one: PlanInput,
  safeguards: QuarantineSafeguards = allQuarantineSafeguards,
): Plan {
  const {quarantine, record} = one;
  if (quarantine === undefined) return planFirst(one);
  if (!one.hasService) return {kind: 'remove', reason: 'no service'};
  if (record?.isAnswered === true) return {kind: 'remove', reason: 'answered'};
  switch (quarantine.state) {
    case 'watched':
      return planWatched(quarantine, one, safeguards);
    case 'held':
      return planHeld(quarantine, one);
    case 'on-trial':
      return planOnTrial(quarantine, one);
  }
}

function planFirst({record, hasService, wall}: PlanInput): Plan {
  const suspect = record?.suspect;
  if (record === undefined || suspect === undefined) return keep;
  if (!hasService || record.endedIncarnations.size < watchedFrom) return keep;
  return put({
    ...suspect,
    state: 'watched',
    since: wall,
    ended: told([...record.endedIncarnations]),
    trials: 0,
  });
}

function planWatched(
  quarantine: Quarantine,
  one: PlanInput,
  {watch}: QuarantineSafeguards,
): Plan {
  const {age, wall} = one;
  const ended = allEnded(quarantine, one);
  const isWatched = !watch || age >= shortestWatch;
  if (ended.length >= heldFrom && isWatched) {
    return put({...quarantine, state: 'held', since: wall, ended: told(ended)});
  }
  return age > longestWatch ? {kind: 'remove', reason: 'expired'} : keep;
}

function planHeld(quarantine: Quarantine, one: PlanInput): Plan {
  const {age, wall, servingIncarnations: lives} = one;
  if (age > longestHold) return {kind: 'remove', reason: 'expired'};
  const delay = trialDelays[quarantine.trials];
  if (delay === undefined || lives.length === 0 || age < delay) return keep;
  const trials = quarantine.trials + 1;
  return put({
    ...quarantine,
    state: 'on-trial',
    since: wall,
    trials,
    trialAt: lives[0]!,
  });
}

function planOnTrial(quarantine: Quarantine, one: PlanInput): Plan {
  const {trialAt, ...rest} = quarantine;
  const {wall, servingIncarnations: lives} = one;
  const ended = allEnded(quarantine, one);
  const isTried = ended.includes(trialAt!);
  if (!isTried && lives.includes(trialAt!)) return keep;
  // The instance ended under other work, so the trial is still to come.
  const next = lives.find(life => life !== trialAt);
  if (!isTried && one.hasTrialInstanceEnded && next !== undefined) {
    return put({...quarantine, since: wall, trialAt: next});
  }
  // Whether an instance that left had tried it can't be told.
  return put({...rest, state: 'held', since: wall, ended: told(ended)});
}

function allEnded({ended}: Quarantine, {record}: PlanInput): string[] {
  return [...new Set([...ended, ...(record?.endedIncarnations ?? [])])];
}

function told(lives: readonly string[]): string[] {
  return lives.slice(-toldLives);
}

function put(quarantine: Quarantine): Plan {
  return {kind: 'put', quarantine};
}
