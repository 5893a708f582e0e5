/** Issues credits to the nodes of one home. */
import type {Quota} from '../configuration/configuration.js';
import type {Timers} from '../time/timers.js';
import {budgetOf} from './budget.js';
import type {Budget, QuotaBounds} from './budget.js';
import {createBucket} from './bucket.js';
import type {Bucket} from './bucket.js';
import {createDemand} from './demand.js';
import type {Demand} from './demand.js';
import type {HomeShares} from './home-shares.js';
import type {
  Ask,
  AskEntry,
  CreditEntry,
  DemandEntry,
  Share,
} from './messages.js';
import {quotaPeriods} from './periods.js';

/** Options of `createHomeCredits`. */
export interface HomeCreditsOptions {
  readonly timers: Timers;
  readonly bounds: QuotaBounds;
  readonly shares: Pick<HomeShares, 'share' | 'isLeased'>;
  /**
   * Asks another home for credits, and calls `done` with their number; false if
   * there is none to ask.
   */
  readonly borrow: (
    workspace: string,
    count: number,
    done: (count: number) => void,
  ) => boolean;
  /** Called when the home has no share of a quota for which there is demand. */
  readonly onMissingShare: () => void;
}

/** One node that is attached to the home. */
export interface HomeNode {
  /** Replies at once, and again when more credits have become available. */
  ask(ask: Ask): void;
  /** The link has ended. */
  close(): void;
}

/** The credits of one home. */
export interface HomeCredits {
  configure(quotas: ReadonlyMap<string, Quota>): void;
  /** Adds a node; `reply` sends to it. */
  node(reply: (sequence: number, entries: CreditEntry[]) => void): HomeNode;
  /** Applies shares that have changed. */
  update(): void;
  /** Issues credits to another home. */
  lend(workspace: string, count: number): number;
  /** The demand and the share of each quota, for the leader. */
  entries(share: (workspace: string) => Share): DemandEntry[];
}

interface Account {
  readonly name: string;
  quota: Quota;
  budget: Budget;
  readonly bucket: Bucket;
  readonly demand: Demand;
  /** The share that the bucket is configured for. */
  share: Share;
  readonly waiting: Waiting[];
  isBorrowing: boolean;
  /** Until then no other home is asked. */
  borrowAt: number;
}

/** Requests of a node that wait for a credit. */
interface Waiting {
  count: number;
  readonly reply: (entry: CreditEntry) => void;
}

/** Milliseconds over which the demand at a home is averaged. */
const demandSpan = 5_000;

/** Bounds of the time for which a node does not ask again, in milliseconds. */
const retryDelay = {least: 80, most: 250};

/** Credits that are not issued ahead of demand. */
const onDemandCredits = 2;

const noShare: Share = {number: 0, rate: 0, capacity: 0};

/** Creates the credits of a home that has no shares yet. */
export function createHomeCredits(options: HomeCreditsOptions): HomeCredits {
  const {timers, bounds, shares} = options;
  const accounts = new Map<string, Account>();

  function createAccount(name: string, quota: Quota): Account {
    return {
      name,
      quota,
      budget: budgetOf(quota, bounds),
      bucket: createBucket(timers),
      demand: createDemand(timers, demandSpan),
      share: noShare,
      waiting: [],
      isBorrowing: false,
      borrowAt: 0,
    };
  }

  function capacityOf({budget, share}: Account): number {
    return budget.capacity * share.capacity + budget.reserve * share.rate;
  }

  function configureBucket(account: Account): void {
    const {bucket, budget, share} = account;
    bucket.configure(budget.rate * share.rate, capacityOf(account));
  }

  /** Follows the share, which ends with its lease. */
  function refresh(account: Account): void {
    const share = shares.share(account.name);
    const before = account.share;
    const isSame =
      share.number === before.number &&
      share.rate === before.rate &&
      share.capacity === before.capacity;
    if (isSame) return;
    account.share = share;
    configureBucket(account);
  }

  function settle(
    {bucket, demand}: Account,
    entry: AskEntry,
    held: number,
  ): number {
    const spent = Math.min(entry.spent, held);
    const unused = Math.min(entry.unused, held - spent);
    bucket.spend(spent + unused);
    bucket.putBack(unused + entry.returned);
    demand.add(entry.waiting + entry.spent + entry.missed);
    return held - spent - unused;
  }

  /** Credits that a node may hold, as long as there are plenty. */
  function ahead(account: Account, wanted: number): number {
    const {bucket} = account;
    const spare = (bucket.available() - onDemandCredits) / 2;
    const room = capacityOf(account) / 2 - bucket.held();
    const count = Math.floor(Math.min(wanted, spare, room));
    if (count <= 0) return 0;
    bucket.hold(count);
    return count;
  }

  function issue({bucket}: Account, wanted: number): number {
    const count = Math.max(0, Math.min(wanted, bucket.available()));
    bucket.issue(count);
    return count;
  }

  function refusal(account: Account, count: number): CreditEntry {
    const {name, bucket, demand} = account;
    const {least, most} = retryDelay;
    const limit = account.quota.rate * account.share.rate;
    const ratio = limit > 0 ? Math.max(1, demand.rate() / limit) : 1;
    const isUnknown = account.share.rate === 0;
    return {
      workspace: name,
      granted: 0,
      ahead: 0,
      refused: count,
      // The more requests compete, the less often each node asks.
      retry: Math.max(
        Math.min(most, bucket.nextIn()),
        Math.min(2 * most, least * ratio),
      ),
      spread: Math.min(bounds.window, (ratio - 1) * 1000),
      ...(isUnknown && {isUnknown}),
    };
  }

  /** Gives waiting requests the credits that there are. */
  function serve(account: Account): void {
    const {name, waiting} = account;
    while (waiting.length > 0) {
      const first = waiting[0]!;
      const granted = issue(account, first.count);
      if (granted === 0) return;
      first.count -= granted;
      if (first.count === 0) waiting.shift();
      first.reply({workspace: name, granted, ahead: 0, refused: 0});
    }
  }

  function refuseWaiting(account: Account): void {
    serve(account);
    for (const {count, reply} of account.waiting.splice(0)) {
      reply(refusal(account, count));
    }
  }

  function endBorrowing(account: Account, count: number): void {
    account.isBorrowing = false;
    if (count === 0) account.borrowAt = timers.now() + retryDelay.most;
    grantBorrowed(account, count);
    refuseWaiting(account);
  }

  function grantBorrowed(account: Account, count: number): void {
    let rest = count;
    const {name, waiting} = account;
    while (rest > 0 && waiting.length > 0) {
      const first = waiting[0]!;
      const granted = Math.min(rest, first.count);
      rest -= granted;
      first.count -= granted;
      if (first.count === 0) waiting.shift();
      first.reply({workspace: name, granted, ahead: 0, refused: 0});
    }
    account.bucket.putBack(rest);
  }

  /** Whether requests may wait for credits from elsewhere. */
  function canWait(account: Account): boolean {
    if (account.isBorrowing) return true;
    if (timers.now() < account.borrowAt) return false;
    const count = account.waiting.reduce((sum, each) => sum + each.count, 0);
    const done = (lent: number) => endBorrowing(account, lent);
    account.isBorrowing = true;
    if (options.borrow(account.name, count, done)) return true;
    account.isBorrowing = false;
    return false;
  }

  function askEntry(
    account: Account,
    entry: AskEntry,
    reply: (entry: CreditEntry) => void,
  ): {entry: CreditEntry; held: number} {
    const granted = issue(account, entry.waiting);
    const rest = entry.waiting - granted;
    const held = rest === 0 ? ahead(account, entry.wanted) : 0;
    if (rest > 0) wait(account, {count: rest, reply});
    const {name: workspace} = account;
    return {entry: {workspace, granted, ahead: held, refused: 0}, held};
  }

  function wait(account: Account, waiting: Waiting): void {
    account.waiting.push(waiting);
    if (account.share.rate === 0) options.onMissingShare();
    if (!canWait(account)) refuseWaiting(account);
  }

  function createNode(
    reply: (sequence: number, entries: CreditEntry[]) => void,
  ): HomeNode {
    const holdings = new Map<string, number>();
    let isClosed = false;

    function handle(
      entry: AskEntry,
      replyLater: (entry: CreditEntry) => void,
    ): CreditEntry {
      const account = accounts.get(entry.workspace);
      if (account === undefined) return unknownEntry(entry);
      refresh(account);
      const before = holdings.get(entry.workspace) ?? 0;
      const held = settle(account, entry, before);
      const result = askEntry(account, entry, replyLater);
      holdings.set(entry.workspace, held + result.held);
      return result.entry;
    }

    return {
      ask(ask) {
        const now: CreditEntry[] = [];
        let isReplied = false;
        const replyLater = (entry: CreditEntry) => {
          if (isClosed) return;
          if (isReplied) reply(ask.sequence, [entry]);
          else now.push(entry);
        };
        for (const entry of ask.entries) now.push(handle(entry, replyLater));
        isReplied = true;
        reply(ask.sequence, now.filter(isWorthSending));
      },
      close() {
        isClosed = true;
        // The node may use the credits that it holds for one window.
        timers.after(bounds.window + quotaPeriods.askTimeout, () => {
          for (const [workspace, count] of holdings) {
            accounts.get(workspace)?.bucket.spend(count);
          }
        });
      },
    };
  }

  return {
    configure(quotas) {
      for (const [name, account] of accounts) {
        if (quotas.has(name)) continue;
        refuseWaiting(account);
        accounts.delete(name);
      }
      for (const [name, quota] of quotas) {
        const account = accounts.get(name);
        if (account?.quota === quota) continue;
        if (account === undefined) {
          accounts.set(name, createAccount(name, quota));
          continue;
        }
        account.quota = quota;
        account.budget = budgetOf(quota, bounds);
        configureBucket(account);
      }
    },
    node: createNode,
    update() {
      for (const account of accounts.values()) {
        refresh(account);
        serve(account);
      }
    },
    lend(workspace, count) {
      const account = accounts.get(workspace);
      if (account === undefined) return 0;
      refresh(account);
      return issue(account, count);
    },
    entries: share =>
      [...accounts.values()].map(account => {
        const {name, bucket, budget, demand} = account;
        const {number, rate, capacity} = share(name);
        const held = (bucket.held() - budget.reserve * rate) / budget.capacity;
        return {
          workspace: name,
          number,
          rate,
          capacity: Math.min(1, Math.max(capacity, held)),
          demand: demand.rate(),
        };
      }),
  };
}

function unknownEntry({workspace, waiting}: AskEntry): CreditEntry {
  return {
    workspace,
    granted: 0,
    ahead: 0,
    refused: waiting,
    retry: retryDelay.most,
    isUnknown: true,
  };
}

function isWorthSending({granted, ahead, refused}: CreditEntry): boolean {
  return granted > 0 || ahead > 0 || refused > 0;
}
