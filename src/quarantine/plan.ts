/**
 * Decides how to treat requests that were running when instances crashed. All
 * requests that ran at a crash are suspects, so a single crash has no
 * consequences: from the second crash on all nodes watch the request, any
 * answer clears it, and after the third it is held unless it was answered in
 * between. A held request gets a few trials, so that it is no longer refused
 * once the instances do not crash any more.
 */
import type {Quarantine} from '../configuration/configuration.js';
import type {SuspectRecord} from './suspect-table.js';

/** The input of a decision about one request. */
export interface PlanInput {
  /** The quarantine in force; undefined before the first. */
  readonly quarantine: Quarantine | undefined;
  /** The evidence about it; undefined after a restart. */
  readonly record: SuspectRecord | undefined;
  /** Whether the configuration in force has its service. */
  readonly hasService: boolean;
  /**
   * Incarnations of its service's instances that take work; empty while the
   * request is only watched.
   */
  readonly servingIncarnations: readonly string[];
  /** Whether the trial's instance has crashed, whatever was running. */
  readonly hasTrialInstanceEnded: boolean;
  /** Milliseconds since the quarantine entered its state; 0 without one. */
  readonly age: number;
  /**
   * Milliseconds since the epoch. Only shown to operators and never compared,
   * since the clock may jump.
   */
  readonly wall: number;
}

/** The change of a request's quarantine: put it, remove it, or keep it as is. */
export type QuarantinePlan =
  | {readonly kind: 'put'; readonly quarantine: Quarantine}
  | {readonly kind: 'remove'; readonly reason: RemovalReason}
  | {readonly kind: 'keep'};

/** Why a quarantine is removed. */
export type RemovalReason = 'answered' | 'expired' | 'no service' | 'no room';

/** Number of crashes after which all nodes watch a request. */
const watchCrashes = 2;

/** Number of crashes after which a request is held. */
const holdCrashes = 3;

/**
 * Minimum time in milliseconds for which nodes watch a request before it is
 * held. Several instances may crash together while a harmless request runs on
 * each of them; reports of its answers from other instances take this long.
 */
const minWatch = 1_000;

/** Milliseconds after which a request that is only watched is released. */
const maxWatch = 600_000;

/**
 * Milliseconds from when a request was held to each trial. The first trial comes
 * early because the request may be harmless; if it is not, each trial crashes an
 * instance.
 */
const trialDelays: readonly number[] = [3_000, 600_000, 3_600_000];

/** Milliseconds in the held state after which a request is released. */
const maxHold = 86_400_000;

/** Maximum number of ended incarnations listed in a quarantine. */
const maxListedIncarnations = 8;

const keep: QuarantinePlan = {kind: 'keep'};

/** Safeguards that a test can turn off to show the failure that each prevents. */
export interface QuarantineSafeguards {
  /** A request is watched for a while before it is held. */
  readonly watch: boolean;
}

/** The safeguards of every process. */
export const allQuarantineSafeguards: QuarantineSafeguards = {watch: true};

/** Decides how to change the quarantine of one request. */
export function planQuarantine(
  input: PlanInput,
  safeguards: QuarantineSafeguards = allQuarantineSafeguards,
): QuarantinePlan {
  const {quarantine, record} = input;
  if (quarantine === undefined) return planFirst(input);
  if (!input.hasService) return {kind: 'remove', reason: 'no service'};
  if (record?.isAnswered === true) return {kind: 'remove', reason: 'answered'};
  switch (quarantine.state) {
    case 'watched':
      return planWatched(quarantine, input, safeguards);
    case 'held':
      return planHeld(quarantine, input);
    case 'on-trial':
      return planOnTrial(quarantine, input);
  }
}

function planFirst({record, hasService, wall}: PlanInput): QuarantinePlan {
  const suspect = record?.suspect;
  if (record === undefined || suspect === undefined) return keep;
  if (!hasService || record.endedIncarnations.size < watchCrashes) return keep;
  return put({
    ...suspect,
    state: 'watched',
    since: wall,
    ended: listIncarnations([...record.endedIncarnations]),
    trials: 0,
  });
}

function planWatched(
  quarantine: Quarantine,
  input: PlanInput,
  {watch}: QuarantineSafeguards,
): QuarantinePlan {
  const {age, wall} = input;
  const ended = allEndedIncarnations(quarantine, input);
  const wasWatchedLongEnough = !watch || age >= minWatch;
  if (ended.length >= holdCrashes && wasWatchedLongEnough) {
    return put({
      ...quarantine,
      state: 'held',
      since: wall,
      ended: listIncarnations(ended),
    });
  }
  return age > maxWatch ? {kind: 'remove', reason: 'expired'} : keep;
}

function planHeld(quarantine: Quarantine, input: PlanInput): QuarantinePlan {
  const {age, wall, servingIncarnations} = input;
  if (age > maxHold) return {kind: 'remove', reason: 'expired'};
  const delay = trialDelays[quarantine.trials];
  if (delay === undefined || servingIncarnations.length === 0 || age < delay)
    return keep;
  const trials = quarantine.trials + 1;
  return put({
    ...quarantine,
    state: 'on-trial',
    since: wall,
    trials,
    trialAt: servingIncarnations[0]!,
  });
}

function planOnTrial(quarantine: Quarantine, input: PlanInput): QuarantinePlan {
  const {trialAt, ...rest} = quarantine;
  const {wall, servingIncarnations} = input;
  const ended = allEndedIncarnations(quarantine, input);
  const hasTrialCrashed = ended.includes(trialAt!);
  if (!hasTrialCrashed && servingIncarnations.includes(trialAt!)) return keep;
  // The instance crashed under other work, so the trial has not happened yet.
  const nextTrialAt = servingIncarnations.find(
    incarnation => incarnation !== trialAt,
  );
  if (
    !hasTrialCrashed &&
    input.hasTrialInstanceEnded &&
    nextTrialAt !== undefined
  ) {
    return put({...quarantine, since: wall, trialAt: nextTrialAt});
  }
  // For an instance that left it is unknown whether it ran the request.
  return put({
    ...rest,
    state: 'held',
    since: wall,
    ended: listIncarnations(ended),
  });
}

function allEndedIncarnations(
  {ended}: Quarantine,
  {record}: PlanInput,
): string[] {
  return [...new Set([...ended, ...(record?.endedIncarnations ?? [])])];
}

function listIncarnations(incarnations: readonly string[]): string[] {
  return incarnations.slice(-maxListedIncarnations);
}

function put(quarantine: Quarantine): QuarantinePlan {
  return {kind: 'put', quarantine};
}
