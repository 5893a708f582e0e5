/**
 * Workspaces that share one gate, on fake timers. Each workspace has its own
 * random numbers, so that the load of one doesn't change that of the others.
 */
import type {Priority} from '../../src/configuration/configuration.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createAdmission} from '../../src/request/decisions/admission.js';
import type {Ticket} from '../../src/request/decisions/admission.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';

/** Calls that take similar time; times in milliseconds. */
export interface WorkKind {
  readonly name: string;
  readonly work: number;
  /** Time within which the caller needs the answer. */
  readonly objective: number;
}

/** A time in which a workspace sends `factor` times its rate. */
export interface Flood {
  readonly from: number;
  readonly until: number;
  readonly factor: number;
}

/** The load of one workspace. */
export interface WorkspaceLoad {
  readonly name: string;
  /** Offered work divided by the capacity of the slots. */
  readonly load: number;
  readonly kind: WorkKind;
  readonly priority: Priority;
  readonly flood?: Flood | undefined;
  /** See `Ticket.weight`. */
  readonly weight?: number | undefined;
}

/** Options of `simulateSharing`. */
export interface SharingOptions {
  readonly workspaces: readonly WorkspaceLoad[];
  readonly seed: number;
  readonly duration: number;
  /** Fair order if true, order of arrival if false. */
  readonly fair: boolean;
  /** See `AdmissionOptions.floor`. */
  readonly floor?: number;
  /** Only calls that arrive from then on are counted; 0 by default. */
  readonly countedFrom?: number;
  /** Only calls that arrive before then are counted; all by default. */
  readonly countedUntil?: number;
}

/** What one workspace got. */
export interface WorkspaceResult {
  offered: number;
  /** Calls that were answered within the objective. */
  served: number;
  /** Work of the calls that were started. */
  work: number;
}

/** What all workspaces got. */
export interface SharingResult {
  readonly workspaces: ReadonlyMap<string, WorkspaceResult>;
  /** Starts while a call of a higher priority waited. */
  readonly inversions: number;
}

/** Slots of an instance of the first deployment of docs/design/hard-load.md. */
export const slots = 6;
const queueLength = 64;
/** Time after the objective until which a caller waits, as a factor of it. */
const deadlineFactor = 2;
/** One call in this many takes `longFactor` times as long. */
const longEvery = 100;
const longFactor = 4;
const ranks: readonly Priority[] = ['critical', 'normal', 'background'];

/** Plays the load of all workspaces at one gate. */
export function simulateSharing(options: SharingOptions): SharingResult {
  const timers = createFakeTimers();
  const admission = createAdmission({
    slots,
    queueLength,
    clock: timers,
    floor: options.floor,
    safeguards: {fairShares: options.fair},
  });
  const results = new Map<string, WorkspaceResult>();
  const waiting = new Map<Priority, number>(ranks.map(rank => [rank, 0]));
  let inversions = 0;

  function countWaiting(priority: Priority, change: number): void {
    waiting.set(priority, waiting.get(priority)! + change);
  }

  function hasHigherWaiting(priority: Priority): boolean {
    const higher = ranks.slice(0, ranks.indexOf(priority));
    return higher.some(rank => waiting.get(rank)! > 0);
  }

  function isCounted(time: number): boolean {
    const from = options.countedFrom ?? 0;
    return time >= from && time < (options.countedUntil ?? Infinity);
  }

  function offer(load: WorkspaceLoad, work: number): void {
    const {kind, priority} = load;
    const arrivedAt = timers.now();
    const counted = isCounted(arrivedAt);
    const result = results.get(load.name)!;
    const goodUntil = arrivedAt + kind.objective;
    if (counted) result.offered++;
    const ended = () => {
      if (counted && timers.now() <= goodUntil) result.served++;
      admission.done(work, kind.name);
    };
    const ticket: Ticket = {
      rank: priority,
      workspace: load.name,
      weight: load.weight,
      kind: kind.name,
      goodUntil,
      deadline: arrivedAt + kind.objective * deadlineFactor,
      start: () => {
        countWaiting(priority, -1);
        if (hasHigherWaiting(priority)) inversions++;
        if (counted) result.work += work;
        timers.after(work, ended);
      },
      refuse: () => countWaiting(priority, -1),
    };
    countWaiting(priority, 1);
    admission.offer(ticket);
  }

  options.workspaces.forEach((load, index) => {
    results.set(load.name, {offered: 0, served: 0, work: 0});
    const random = createRandom(options.seed * 1_000 + index);
    const arrive = () => {
      offer(load, drawWork(load.kind, random));
      timers.after(drawGap(load, timers.now(), random), arrive);
    };
    timers.after(drawGap(load, 0, random), arrive);
  });
  timers.advance(options.duration);
  return {workspaces: results, inversions};
}

/** Share of the calls that were served, over the named workspaces or all. */
export function servedShare(
  result: SharingResult,
  isIncluded: (name: string) => boolean = () => true,
): number {
  let offered = 0;
  let served = 0;
  for (const [name, workspace] of result.workspaces) {
    if (!isIncluded(name)) continue;
    offered += workspace.offered;
    served += workspace.served;
  }
  return served / Math.max(1, offered);
}

/** Shares of the calls that were served, by workspace, the lowest first. */
export function servedShares(
  result: SharingResult,
  isIncluded: (name: string) => boolean = () => true,
): number[] {
  return [...result.workspaces.keys()]
    .filter(isIncluded)
    .map(name => servedShare(result, other => other === name))
    .sort((left, right) => left - right);
}

function drawWork({work}: WorkKind, random: Random): number {
  const usual = work * (0.7 + 0.6 * random.fraction());
  return random.integer(longEvery) === 0 ? usual * longFactor : usual;
}

/** Milliseconds until the next call of a workspace. */
function drawGap(load: WorkspaceLoad, now: number, random: Random): number {
  const {flood, kind} = load;
  const isFlooding =
    flood !== undefined && now >= flood.from && now < flood.until;
  const factor = isFlooding ? flood.factor : 1;
  const mean = kind.work / (slots * load.load * factor);
  return -Math.log(1 - random.fraction()) * mean;
}
