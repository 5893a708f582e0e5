/**
 * Assigns fractions of quotas to homes, at the leader of the control group.
 * Whatever messages are lost, the fractions that homes may use never add up to
 * more than one; docs/design/quotas.md says why.
 */
import type {Quota} from '../configuration/configuration.js';
import type {Clock} from '../time/clock.js';
import {budgetOf} from './budget.js';
import type {QuotaBounds} from './budget.js';
import {divide} from './division.js';
import type {Fractions} from './division.js';
import type {
  DemandEntry,
  DemandReport,
  ShareEntry,
  Shares,
} from './messages.js';
import {quotaPeriods} from './periods.js';

/** Options of `createDivider`. */
export interface DividerOptions {
  readonly name: string;
  readonly term: number;
  readonly clock: Clock;
  readonly bounds: QuotaBounds;
  /** Called when a home has not reported for the duration of its lease. */
  readonly onLost?: (home: string) => void;
}

/** The division of all quotas during one term of a leader. */
export interface Divider {
  /**
   * Follows the quotas in force. `isNew` says that quotas which were not there
   * before were put in this term, so that no home can have a share of them.
   */
  configure(quotas: ReadonlyMap<string, Quota>, isNew: boolean): void;
  /** Replies to the report of a home. */
  reply(report: DemandReport): Shares;
}

/** A share that the home may still accept. */
interface Offer extends ShareEntry {
  readonly until: number;
}

interface Holding {
  reported: DemandEntry;
  offers: Offer[];
}

interface HomeRecord {
  readonly home: string;
  readonly life: string;
  readonly holdings: Map<string, Holding>;
  /** Quotas of which the home's fractions may differ from their targets. */
  readonly unsettled: Set<string>;
  /** When the home's shares have expired by any clock. */
  leaseEnd: number;
}

interface QuotaState {
  readonly capacity: number;
  /** Whether no home can have a share from an earlier term. */
  readonly isNew: boolean;
}

/**
 * Relative differences from the target that are not worth a message. A home
 * whose capacity is a little below one credit can't issue any.
 */
const tolerance = {above: 0.1, below: 0.02};

/** Guards against sums above one by rounding. */
const roundingError = 1e-9;

/** Numbers of shares in one term; the term makes them unique. */
const numbersPerTerm = 1_000_000_000;

/**
 * Time after a reply in which the home may use its shares. A leader that has
 * been deposed without its knowledge may assign shares for `leadership`, and the
 * next one may have renewed this home's lease meanwhile.
 */
const countedLease = quotaPeriods.lease + quotaPeriods.leadership;

/** Creates the division at the begin of a term. */
export function createDivider(options: DividerOptions): Divider {
  const {clock, bounds} = options;
  const homes = new Map<string, HomeRecord>();
  /** Homes whose leases have expired; their nodes may still hold credits. */
  let lost: HomeRecord[] = [];
  let quotas: ReadonlyMap<string, Quota> = new Map();
  const states = new Map<string, QuotaState>();
  const assignAt = clock.now() + quotaPeriods.leadership + quotaPeriods.lease;
  let lastNumber = options.term * numbersPerTerm;

  const hasWaited = (end: number) => clock.now() >= end;
  const creditTime = bounds.window + quotaPeriods.askTimeout;

  function removeExpired(): void {
    for (const record of homes.values()) {
      if (!hasWaited(record.leaseEnd)) continue;
      options.onLost?.(record.home);
      remove(record);
    }
    lost = lost.filter(({leaseEnd}) => !hasWaited(leaseEnd + creditTime));
  }

  function remove(record: HomeRecord): void {
    homes.delete(record.home);
    lost.push(record);
    for (const workspace of record.holdings.keys()) unsettle(workspace);
  }

  function unsettle(workspace: string): void {
    for (const record of homes.values()) record.unsettled.add(workspace);
  }

  function receive(report: DemandReport): HomeRecord | undefined {
    let record = homes.get(report.home);
    if (record !== undefined && record.life !== report.life) {
      remove(record);
      record = undefined;
    }
    if (record === undefined) {
      if (!report.isFull) return undefined;
      record = {
        home: report.home,
        life: report.life,
        holdings: new Map(),
        unsettled: new Set(),
        leaseEnd: 0,
      };
      homes.set(report.home, record);
      for (const workspace of states.keys()) {
        if (isActive(workspace)) unsettle(workspace);
      }
    }
    // A full report follows a lost reply, too; offers may still be accepted.
    for (const entry of report.entries) note(record, entry);
    return record;
  }

  function note(record: HomeRecord, entry: DemandEntry): void {
    const holding = record.holdings.get(entry.workspace);
    const offers = holding?.offers ?? [];
    record.holdings.set(entry.workspace, {
      reported: entry,
      offers: offers.filter(({basis}) => basis === entry.number),
    });
    unsettle(entry.workspace);
  }

  function isActive(workspace: string): boolean {
    for (const {holdings} of homes.values()) {
      if (holdings.has(workspace)) return true;
    }
    return false;
  }

  /** The largest fractions that the home may use until its lease ends. */
  function largest(record: HomeRecord, workspace: string): Fractions {
    const holding = record.holdings.get(workspace);
    if (holding === undefined) return {rate: 0, capacity: 0};
    const {reported, offers} = holding;
    let {rate, capacity} = reported;
    for (const offer of offers) {
      if (hasWaited(offer.until)) continue;
      rate = Math.max(rate, offer.rate);
      capacity = Math.max(capacity, offer.capacity);
    }
    return {rate, capacity};
  }

  /** Fractions that no home can have; negative if too much is counted. */
  function free(workspace: string): Fractions {
    let rate = 1;
    let capacity = 1;
    for (const record of homes.values()) {
      const held = largest(record, workspace);
      rate -= held.rate;
      capacity -= held.capacity;
    }
    for (const record of lost) {
      const held = largest(record, workspace);
      if (!hasWaited(record.leaseEnd)) rate -= held.rate;
      capacity -= held.capacity;
    }
    return {rate, capacity};
  }

  function targetOf(
    record: HomeRecord,
    workspace: string,
    {capacity}: QuotaState,
  ): Fractions {
    const records = [...homes.values()];
    const demands = records.map(
      each => each.holdings.get(workspace)?.reported.demand ?? 0,
    );
    return divide(demands, capacity)[records.indexOf(record)]!;
  }

  /** The next share of a home; undefined if it keeps the present one. */
  function next(record: HomeRecord, workspace: string): ShareEntry | undefined {
    const state = states.get(workspace);
    const holding = record.holdings.get(workspace);
    const present = holding?.reported ?? {number: 0, rate: 0, capacity: 0};
    if (state === undefined) return undefined;
    const target = targetOf(record, workspace, state);
    const held = largest(record, workspace);
    const room = free(workspace);
    const mayRaise = (end: number) => state.isNew || hasWaited(end);
    // What was only offered may have been given up since.
    const most: Fractions = {
      rate: mayRaise(assignAt) ? 1 : present.rate,
      capacity: mayRaise(assignAt + creditTime) ? 1 : present.capacity,
    };
    const rate = limit(target.rate, held.rate + room.rate, most.rate);
    const capacity = limit(
      target.capacity,
      held.capacity + room.capacity,
      most.capacity,
    );
    // An offer may be lost, so only a reported share ends the attempts.
    if (isNear(present, target)) record.unsettled.delete(workspace);
    if (isNear(present, {rate, capacity})) return undefined;
    const basis = present.number;
    return {workspace, basis, number: ++lastNumber, rate, capacity};
  }

  function offer(record: HomeRecord, entry: ShareEntry): void {
    const holding = record.holdings.get(entry.workspace) ?? {
      reported: {...entry, number: 0, rate: 0, capacity: 0, demand: 0},
      offers: [],
    };
    const until = clock.now() + countedLease;
    holding.offers = holding.offers.filter(each => !hasWaited(each.until));
    holding.offers.push({...entry, until});
    record.holdings.set(entry.workspace, holding);
  }

  function assign(record: HomeRecord): ShareEntry[] {
    const entries: ShareEntry[] = [];
    for (const workspace of record.unsettled) {
      if (!states.has(workspace)) record.unsettled.delete(workspace);
      const entry = next(record, workspace);
      if (entry === undefined) continue;
      offer(record, entry);
      entries.push(entry);
    }
    return entries;
  }

  return {
    configure(newQuotas, isNew) {
      for (const workspace of states.keys()) {
        if (newQuotas.has(workspace)) continue;
        states.delete(workspace);
      }
      for (const [workspace, quota] of newQuotas) {
        const before = states.get(workspace);
        if (before !== undefined && quotas.get(workspace) === quota) continue;
        const {capacity} = budgetOf(quota, bounds);
        states.set(workspace, {capacity, isNew: before?.isNew ?? isNew});
        unsettle(workspace);
      }
      quotas = newQuotas;
    },
    reply(report) {
      removeExpired();
      const record = receive(report);
      const entries = record === undefined ? [] : assign(record);
      if (record !== undefined) {
        record.leaseEnd = clock.now() + countedLease;
      }
      return {
        kind: 'shares',
        home: report.home,
        life: report.life,
        leader: options.name,
        term: options.term,
        sequence: report.sequence,
        needsAll: record === undefined,
        entries,
      };
    },
  };
}

/**
 * The target, if the other homes leave as much. They may leave less than is held
 * if a late report arrives after the home's share has been reassigned.
 */
function limit(target: number, left: number, most: number): number {
  return Math.min(target, most, Math.max(0, left - roundingError));
}

function isNear(present: Fractions, wanted: Fractions): boolean {
  return (
    isFractionNear(present.rate, wanted.rate) &&
    isFractionNear(present.capacity, wanted.capacity)
  );
}

function isFractionNear(present: number, wanted: number): boolean {
  const {above, below} = tolerance;
  return present >= wanted * (1 - below) && present <= wanted * (1 + above);
}
