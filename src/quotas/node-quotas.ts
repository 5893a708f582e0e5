/** The quotas of workspaces at a node, which holds credits of its home. */
import type {Configuration, Quota} from '../configuration/configuration.js';
import type {Channel, Channels} from '../link/channel.js';
import {createLineBudget} from '../log/line-budget.js';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';
import {quotasOf} from './budget.js';
import type {QuotaBounds} from './budget.js';
import {createDemand} from './demand.js';
import type {Demand} from './demand.js';
import {createLeaseClock} from './lease-clock.js';
import type {AskEntry, CreditEntry, Credits} from './messages.js';
import {quotaPeriods} from './periods.js';
import {createQuotaUsage} from './quota-usage.js';
import type {QuotaOutcome} from './quota-usage.js';
import type {
  Credit,
  QuotaDecision,
  QuotaRefusalReason,
  Quotas,
} from './quotas.js';
import {parseHomeMessage, withoutZeros} from './schema.js';

/** Options of `createNodeQuotas`. */
export interface NodeQuotasOptions {
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Pick<Metrics, 'quota'>;
  readonly bounds: Pick<QuotaBounds, 'window'>;
  /** Leaves a home that does not speak the plane. */
  readonly leaveHome: (reason: string) => void;
}

/** The credits of one node. */
export interface NodeQuotas extends Quotas {
  /** Uses this link from now on. */
  attach(channels: Channels): void;
  /** Follows the configuration in force. */
  update(configuration: Configuration): void;
  stop(): void;
}

/** Milliseconds over which the use of a node is averaged. */
const useSpan = 1_000;

/** Milliseconds of its use for which a node holds credits ahead. */
const holdTime = 1_000;

/** Milliseconds between checks for held credits that are not used. */
const idleCheck = 1_000;

/** Milliseconds after which a home counts as not speaking the plane. */
const silentHomeTime = 2_000;

/** Milliseconds between two homes that are left for that reason. */
const leaveInterval = 10_000;

/** Bounds of the seconds after which an undecided request may be retried. */
const unknownRetry = {least: 0.25, most: 1};

const linesPerSecond = 1;
const lineBurst = 10;

interface Waiting {
  readonly since: number;
  /** Whether a question counts it. */
  isAsked: boolean;
  readonly resolve: (decision: QuotaDecision) => void;
  readonly timer: Subscription;
}

/** Credits with the time until which they are valid. */
interface Holding {
  count: number;
  validUntil: number;
}

interface Account {
  readonly name: string;
  quota: Quota;
  readonly use: Demand;
  /** Credits of the present home. */
  held: Holding;
  /** Credits of an earlier home. */
  carried: Holding;
  spent: number;
  returned: number;
  missed: number;
  readonly waiting: Set<Waiting>;
  /** Requests that wait and have not been asked for. */
  notAsked: number;
  /** Until then no credit is expected, by the monotonic clock. */
  blockedUntil: number;
  /** Milliseconds over which callers are spread after that. */
  spread: number;
}

const noCredits = (): Holding => ({count: 0, validUntil: -Infinity});

/** The credit of a workspace without a quota. */
const freeCredit: Credit = {giveBack() {}};

/** Creates the quotas of a node that is not attached. */
export function createNodeQuotas(options: NodeQuotasOptions): NodeQuotas {
  const {timers, random, metrics, bounds} = options;
  const log = options.log.scope('quotas');
  const lines = createLineBudget({
    rate: linesPerSecond,
    burst: lineBurst,
    timers,
    log,
  });
  const usage = createQuotaUsage({timers, log});
  const leaseClock = createLeaseClock(timers);
  const accounts = new Map<string, Account>();
  /** When the asks that may still be replied to were sent. */
  const asked = new Map<number, number>();
  let channel: Channel | undefined;
  /** Name of the home that the node is attached to. */
  let home: string | undefined;
  let isReady = false;
  let sequence = 0;
  /** Ends the time in which no further question is sent; see `sendAsk`. */
  let replyTimer: Subscription | undefined;
  /** Whether a question is due once the last one has been answered. */
  let isAskDue = false;
  let leftAt = -Infinity;
  let askTimer: Subscription | undefined;
  let reportTimer: Subscription | undefined;
  let reportAt = 0;
  let silenceTimer: Subscription | undefined;

  function createAccount(name: string, quota: Quota): Account {
    return {
      name,
      quota,
      use: createDemand(timers, useSpan),
      held: noCredits(),
      carried: noCredits(),
      spent: 0,
      returned: 0,
      missed: 0,
      waiting: new Set(),
      notAsked: 0,
      blockedUntil: -Infinity,
      spread: 0,
    };
  }

  function grant(account: Account): QuotaDecision {
    const issuer = channel;
    let isReturned = false;
    const giveBack = () => {
      if (isReturned) return;
      isReturned = true;
      // Another home has not issued it, and must not issue it again.
      if (issuer !== channel || !accounts.has(account.name)) return;
      account.returned++;
      scheduleReport(quotaPeriods.nodeReport);
    };
    metrics.quota('granted');
    return {kind: 'granted', credit: {giveBack}};
  }

  function refuse(
    account: Account,
    reason: QuotaRefusalReason,
    retryAfter: number,
  ): QuotaDecision {
    metrics.quota(reason);
    if (lines.take(1)) {
      log.info('request over quota refused', {
        workspace: account.name,
        reason,
        retryAfter,
      });
    }
    return {kind: 'refused', reason, retryAfter};
  }

  /** Callers are spread over the time in which credits become available. */
  function refuseExceeded(account: Account): QuotaDecision {
    const wait = Math.max(0, account.blockedUntil - timers.now());
    const retryIn = wait + random.fraction() * account.spread;
    return refuse(account, 'exceeded', Math.ceil(retryIn) / 1000);
  }

  function refuseUnknown(account: Account): QuotaDecision {
    const {least, most} = unknownRetry;
    const retryAfter = least + random.fraction() * (most - least);
    return refuse(account, 'unknown', Math.round(retryAfter * 1000) / 1000);
  }

  function hasCredit(holding: Holding): boolean {
    return holding.count > 0 && leaseClock.now() < holding.validUntil;
  }

  function takeHeld(account: Account): boolean {
    const {carried, held} = account;
    if (hasCredit(carried)) {
      carried.count--;
      return true;
    }
    if (!hasCredit(held)) return false;
    held.count--;
    account.spent++;
    scheduleReport(quotaPeriods.nodeReport);
    return true;
  }

  function take(
    workspace: string,
    until: number,
  ): QuotaDecision | Promise<QuotaDecision> {
    const account = accounts.get(workspace);
    if (account === undefined) return {kind: 'granted', credit: freeCredit};
    account.use.add(1);
    if (takeHeld(account)) {
      usage.record(home, 'held', 0);
      return grant(account);
    }
    if (timers.now() < account.blockedUntil) {
      account.missed++;
      usage.record(home, 'blocked', 0);
      return refuseExceeded(account);
    }
    if (!isReady) {
      usage.record(home, 'homeless', 0);
      return refuseUnknown(account);
    }
    return waitForCredit(account, until);
  }

  function waitForCredit(
    account: Account,
    until: number,
  ): Promise<QuotaDecision> {
    const now = timers.now();
    const wait = Math.min(quotaPeriods.askTimeout, Math.max(0, until - now));
    return new Promise(resolve => {
      const timer = timers.after(wait, () => {
        account.waiting.delete(waiting);
        if (!waiting.isAsked) account.notAsked--;
        usage.record(home, 'unanswered', wait);
        resolve(refuseUnknown(account));
      });
      const waiting: Waiting = {since: now, isAsked: false, resolve, timer};
      account.waiting.add(waiting);
      account.notAsked++;
      askTimer ??= timers.after(quotaPeriods.askDelay, () => {
        askTimer = undefined;
        sendAsk();
      });
    });
  }

  function settle(
    account: Account,
    count: number,
    outcome: QuotaOutcome,
    decide: () => QuotaDecision,
  ): number {
    const now = timers.now();
    let rest = count;
    for (const waiting of account.waiting) {
      if (rest === 0) break;
      rest--;
      account.waiting.delete(waiting);
      waiting.timer.cancel();
      usage.record(home, outcome, now - waiting.since);
      waiting.resolve(decide());
    }
    return rest;
  }

  function scheduleReport(delay: number): void {
    if (!isReady) return;
    const at = timers.now() + delay;
    if (reportTimer !== undefined && reportAt <= at) return;
    reportTimer?.cancel();
    reportAt = at;
    reportTimer = timers.after(delay, () => {
      reportTimer = undefined;
      sendAsk();
    });
  }

  /** Credits that the node would hold beside those that it has. */
  function wantedCredits({use, held}: Account): number {
    const target = Math.floor((use.rate() * holdTime) / 1000);
    return held.count < target / 2 ? target - held.count : 0;
  }

  function unusedCredits({use, held}: Account): number {
    const target = Math.ceil((use.rate() * holdTime) / 1000);
    return held.count > 2 * target ? held.count - target : 0;
  }

  function removeExpired({held}: Account): number {
    if (held.count === 0 || leaseClock.now() < held.validUntil) return 0;
    const {count} = held;
    held.count = 0;
    return count;
  }

  function toEntry(account: Account): AskEntry | undefined {
    const {spent, returned, missed, notAsked} = account;
    const expired = removeExpired(account);
    const unused = unusedCredits(account);
    const used = spent + expired;
    if (used + returned + notAsked + unused === 0) return undefined;
    account.held.count -= unused;
    for (const waiting of account.waiting) waiting.isAsked = true;
    account.spent = account.returned = account.missed = account.notAsked = 0;
    return {
      workspace: account.name,
      waiting: notAsked,
      spent: used,
      unused,
      returned,
      missed,
      wanted: unused > 0 ? 0 : wantedCredits(account),
    };
  }

  /**
   * Sends what is to be asked and reported. One question at a time: if each
   * request without a credit were a message, a home that is short of processor
   * time would get more of them the longer it takes to answer, since refused
   * callers return.
   */
  function sendAsk(): void {
    if (channel === undefined || !isReady) return;
    if (replyTimer !== undefined) {
      isAskDue = true;
      return;
    }
    // A question reports all that there is to report.
    reportTimer?.cancel();
    reportTimer = undefined;
    const entries: AskEntry[] = [];
    let hasHeld = false;
    for (const account of accounts.values()) {
      const entry = toEntry(account);
      if (entry !== undefined) entries.push(entry);
      hasHeld ||= account.held.count > 0;
    }
    if (hasHeld) scheduleReport(idleCheck);
    if (entries.length === 0) return;
    sequence++;
    asked.set(sequence, leaseClock.now());
    replyTimer = timers.after(quotaPeriods.askTimeout, endQuestion);
    forgetOldAsks();
    channel.send({kind: 'ask', sequence, entries: entries.map(withoutZeros)});
  }

  function endQuestion(): void {
    replyTimer?.cancel();
    replyTimer = undefined;
    if (!isAskDue) return;
    isAskDue = false;
    sendAsk();
  }

  function forgetOldAsks(): void {
    const oldest = leaseClock.now() - bounds.window;
    for (const [number, sentAt] of asked) {
      if (sentAt > oldest) return;
      asked.delete(number);
    }
  }

  function receive(message: Credits): void {
    const sentAt = asked.get(message.sequence);
    if (sentAt === undefined) return;
    const now = leaseClock.now();
    const isLate = now - sentAt > quotaPeriods.askTimeout;
    const validUntil = sentAt + bounds.window;
    for (const account of accounts.values()) {
      const {held} = account;
      if (now < held.validUntil) {
        held.validUntil = Math.max(held.validUntil, validUntil);
      }
    }
    for (const entry of message.entries) apply(entry, validUntil, isLate);
    if (message.sequence === sequence) endQuestion();
  }

  function apply(entry: CreditEntry, validUntil: number, isLate: boolean) {
    const account = accounts.get(entry.workspace);
    if (account === undefined) return;
    if (entry.ahead > 0) hold(account, entry.ahead, validUntil);
    settleGranted(account, entry.granted, isLate);
    if (entry.refused > 0) refuseAll(account, entry);
  }

  /** Credits that are late or that no request waits for are returned. */
  function settleGranted(
    account: Account,
    granted: number,
    isLate: boolean,
  ): void {
    const rest = isLate
      ? granted
      : settle(account, granted, 'granted', () => grant(account));
    if (rest === 0) return;
    account.returned += rest;
    scheduleReport(quotaPeriods.nodeReport);
  }

  function hold(account: Account, count: number, validUntil: number): void {
    const {held} = account;
    if (leaseClock.now() >= validUntil) {
      account.spent += count;
      return;
    }
    // Expired credits must not become valid again.
    account.spent += removeExpired(account);
    held.count += count;
    held.validUntil = Math.max(held.validUntil, validUntil);
    scheduleReport(idleCheck);
  }

  function refuseAll(account: Account, entry: CreditEntry): void {
    const {refused, retry = 0, spread = 0, isUnknown} = entry;
    if (isUnknown === true) {
      settle(account, refused, 'shareless', () => refuseUnknown(account));
      return;
    }
    account.blockedUntil = timers.now() + retry;
    account.spread = spread;
    settle(account, refused, 'exceeded', () => refuseExceeded(account));
  }

  /** The credits stay valid, but the next home has not issued them. */
  function carryOver(account: Account): void {
    const {held, carried} = account;
    if (hasCredit(held)) {
      const count = held.count + (hasCredit(carried) ? carried.count : 0);
      const validUntil = hasCredit(carried)
        ? Math.min(held.validUntil, carried.validUntil)
        : held.validUntil;
      account.carried = {count, validUntil};
    }
    account.held = noCredits();
    account.spent = account.returned = account.notAsked = 0;
    account.blockedUntil = -Infinity;
    const count = account.waiting.size;
    settle(account, count, 'homeless', () => refuseUnknown(account));
  }

  function detach(): void {
    channel = undefined;
    isReady = false;
    asked.clear();
    replyTimer?.cancel();
    replyTimer = undefined;
    isAskDue = false;
    reportTimer?.cancel();
    reportTimer = undefined;
    for (const account of accounts.values()) carryOver(account);
    home = undefined;
  }

  /** A home of an earlier release does not speak the plane; others may. */
  function watchSilence(): void {
    silenceTimer?.cancel();
    silenceTimer = undefined;
    if (accounts.size === 0 || isReady || channel === undefined) return;
    const pause = leftAt + leaveInterval - timers.now();
    silenceTimer = timers.after(Math.max(silentHomeTime, pause), () => {
      silenceTimer = undefined;
      if (isReady || accounts.size === 0) return;
      leftAt = timers.now();
      log.warn('home does not speak of quotas');
      options.leaveHome('it does not speak of quotas');
    });
  }

  function attach(channels: Channels): void {
    if (channel !== undefined) detach();
    const newChannel = channels.on('quotas');
    channel = newChannel;
    home = channels.link.peer;
    channels.onClose(() => {
      if (channel === newChannel) detach();
    });
    newChannel.onMessage(body => {
      if (channel !== newChannel) return;
      const message = parseHomeMessage(body);
      if (message === undefined) {
        log.warn('quota message refused', {peer: channels.link.peer});
      } else if (message.kind === 'credits') receive(message);
      else {
        isReady = true;
        silenceTimer?.cancel();
        silenceTimer = undefined;
      }
    });
    watchSilence();
  }

  function changeQuota(account: Account, quota: Quota): void {
    const before = account.quota;
    account.quota = quota;
    account.blockedUntil = -Infinity;
    const part = Math.min(1, quota.rate / before.rate || 0);
    for (const holding of [account.held, account.carried]) {
      const kept = Math.floor(holding.count * part);
      if (holding === account.held) account.spent += holding.count - kept;
      holding.count = kept;
    }
    scheduleReport(quotaPeriods.nodeReport);
  }

  return {
    take,
    attach,
    update(configuration) {
      const quotas = quotasOf(configuration);
      for (const [name, account] of accounts) {
        if (quotas.has(name)) continue;
        settle(account, account.waiting.size, 'granted', () => ({
          kind: 'granted',
          credit: freeCredit,
        }));
        accounts.delete(name);
      }
      for (const [name, quota] of quotas) {
        const account = accounts.get(name);
        if (account === undefined) {
          accounts.set(name, createAccount(name, quota));
        } else if (isChanged(account.quota, quota)) changeQuota(account, quota);
      }
      if (silenceTimer === undefined) watchSilence();
    },
    stop() {
      askTimer?.cancel();
      replyTimer?.cancel();
      reportTimer?.cancel();
      silenceTimer?.cancel();
    },
  };
}

function isChanged(before: Quota, after: Quota): boolean {
  return before.rate !== after.rate || before.burst !== after.burst;
}
