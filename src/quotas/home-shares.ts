/** A home's shares of all quotas and their lease. */
import type {LeaseClock} from './lease-clock.js';
import type {DemandEntry, Share, Shares} from './messages.js';
import {quotaPeriods} from './periods.js';

/** Options of `createHomeShares`. */
export interface HomeSharesOptions {
  /** Identifies the start of the home's process. */
  readonly life: string;
  readonly leaseClock: LeaseClock;
  /** The state of each quota that the home knows. */
  readonly entries: (
    share: (workspace: string) => Share,
  ) => readonly DemandEntry[];
}

/** What a reply of the leader did. */
export type ShareReply = 'ignored' | 'renewed' | 'changed' | 'needs-all';

/** The shares of one home. */
export interface HomeShares {
  /** The share that the home may use now. */
  share(workspace: string): Share;
  /** Whether the leader has renewed the shares within the lease. */
  isLeased(): boolean;
  /** The next report: its sequence, and the entries that the leader lacks. */
  report(): {sequence: number; isFull: boolean; entries: DemandEntry[]};
  /** Applies a reply of the leader. */
  accept(shares: Shares): ShareReply;
  /** The highest term of a leader that has replied. */
  term(): number;
}

interface SentReport {
  readonly sentAt: number;
  readonly entries: readonly DemandEntry[];
}

const noShare: Share = {number: 0, rate: 0, capacity: 0};

/** Changes of the demand that are reported: a part of it, and requests per second. */
const demandChange = {part: 0.2, rate: 0.3};

/** Creates the shares of a home, which has none yet. */
export function createHomeShares(options: HomeSharesOptions): HomeShares {
  const {leaseClock} = options;
  const shares = new Map<string, Share>();
  /** Reports that the leader may still reply to. */
  const sent = new Map<number, SentReport>();
  /** What the leader of `ackedTerm` knows. */
  const acked = new Map<string, DemandEntry>();
  let ackedTerm: number | undefined;
  let sequence = 0;
  let leaseFrom = -Infinity;
  let term = 0;
  /** The last report that was sent before a leader changed a share. */
  let changeSequence = 0;
  let changeTerm: number | undefined;
  let isExpired = true;

  const isLeased = () => leaseClock.now() < leaseFrom + quotaPeriods.lease;

  function current(workspace: string): Share {
    const share = shares.get(workspace) ?? noShare;
    // The number remains, so that no earlier reply is accepted any more.
    return isLeased() ? share : {...noShare, number: share.number};
  }

  function isNews(entry: DemandEntry): boolean {
    const known = acked.get(entry.workspace);
    if (known === undefined) return entry.number > 0 || entry.demand > 0;
    const limit = known.demand * demandChange.part + demandChange.rate;
    return (
      known.number !== entry.number ||
      known.rate !== entry.rate ||
      known.capacity !== entry.capacity ||
      Math.abs(known.demand - entry.demand) > limit
    );
  }

  function forgetOldReports(): void {
    const oldest = leaseClock.now() - quotaPeriods.lease;
    for (const [number, {sentAt}] of sent) {
      if (sentAt > oldest) return;
      sent.delete(number);
    }
  }

  function acknowledge(reply: Shares, report: SentReport): void {
    if (ackedTerm !== reply.term) acked.clear();
    ackedTerm = reply.term;
    for (const entry of report.entries) acked.set(entry.workspace, entry);
    for (const number of sent.keys()) {
      if (number <= reply.sequence) sent.delete(number);
    }
  }

  function replace(reply: Shares): boolean {
    let isChanged = false;
    for (const entry of reply.entries) {
      const {workspace, basis, number, rate, capacity} = entry;
      if (current(workspace).number !== basis) continue;
      shares.set(workspace, {number, rate, capacity});
      isChanged = true;
    }
    if (isChanged) {
      changeSequence = sequence;
      changeTerm = reply.term;
    }
    return isChanged;
  }

  function isAcceptable(reply: Shares): boolean {
    if (reply.life !== options.life || reply.term < term) return false;
    return reply.term === changeTerm || reply.sequence > changeSequence;
  }

  return {
    share: current,
    isLeased,
    report() {
      expireIfDue();
      forgetOldReports();
      const isFull = ackedTerm === undefined || ackedTerm !== term;
      const entries = options.entries(current);
      const news = isFull ? [...entries] : entries.filter(isNews);
      sequence++;
      sent.set(sequence, {sentAt: leaseClock.now(), entries: news});
      return {sequence, isFull, entries: news};
    },
    accept(reply) {
      expireIfDue();
      const report = sent.get(reply.sequence);
      if (report === undefined || !isAcceptable(reply)) return 'ignored';
      const end = report.sentAt + quotaPeriods.lease;
      if (leaseClock.now() >= end) return 'ignored';
      term = reply.term;
      if (reply.needsAll) {
        ackedTerm = undefined;
        return 'needs-all';
      }
      acknowledge(reply, report);
      isExpired = false;
      leaseFrom = Math.max(leaseFrom, report.sentAt);
      return replace(reply) ? 'changed' : 'renewed';
    },
    term: () => term,
  };

  /**
   * Makes the end of a lease permanent. No reply to an earlier report counts any
   * more, as a later report may have told another leader of the end.
   */
  function expireIfDue(): void {
    if (isExpired || isLeased()) return;
    isExpired = true;
    changeSequence = sequence;
    changeTerm = undefined;
    for (const [workspace, {number}] of shares) {
      shares.set(workspace, {...noShare, number});
    }
  }
}
