/**
 * Limits the rate of calls to an upstream that named how many it takes, by a
 * token bucket. Without a limit, each call gets a token at once.
 */
import type {Subscription, Timers} from '../../time/timers.js';

/** The rate limit of one upstream; times in milliseconds. */
export interface RateLimiter {
  /** Calls per second; undefined without a limit. */
  readonly rate: number | undefined;
  /** Sets the rate; the tokens that the bucket can hold change with it. */
  setRate(rate: number | undefined): void;
  /** Time until a call with `ahead` others before it gets a token. */
  wait(ahead: number): number;
  /** Records a call that needs a token, whether it gets one or not. */
  offered(): void;
  /**
   * How often entries should consider the upstream, compared to one without a
   * limit: above 0, and 1 without a limit.
   */
  readonly share: number;
  take(): void;
  /** Returns the token of a call that was not sent. */
  giveBack(): void;
  /**
   * Tokens that are in use or awaited, divided by the size of the bucket; 0
   * without a limit.
   */
  load(waiting: number): number;
  /** Calls the observers as soon as a token is available. */
  requestToken(): void;
  /** Observes that a token may be available. */
  onToken(observe: () => void): void;
}

const millisecondsPerSecond = 1_000;

/** Seconds of calls at the limit that the bucket holds for a burst. */
const burst = 0.25;

/**
 * Minimum rate in calls per second. Only an answer can end a limit, and an
 * upstream that gets no call answers none.
 */
const minRate = 0.5;

/** Time constant in milliseconds of the average rate of offered calls. */
const demandTime = 1_000;
/** Milliseconds between two adjustments of the share. */
const sharePeriod = 250;
/** Minimum share, with which the upstream still gets some calls. */
const minShare = 0.02;
/** Maximum factor by which one adjustment changes the share. */
const maxShareStep = Math.SQRT2;

/** Tolerance for tokens that are sums of fractions. */
const tolerance = 1e-6;

/** Creates a limiter without a limit. */
export function createRateLimiter(timers: Timers): RateLimiter {
  const observers: Array<() => void> = [];
  let rate: number | undefined;
  let size = 1;
  let tokens = 1;
  let filledAt = 0;
  let share = 1;
  let demand = 0;
  let demandAt = 0;
  let shareAdjustedAt = 0;
  let wakeUp: Subscription | undefined;

  function fill(limit: number): void {
    const now = timers.now();
    const added = ((now - filledAt) * limit) / millisecondsPerSecond;
    tokens = Math.min(size, tokens + added);
    filledAt = now;
  }

  function wait(ahead: number): number {
    if (rate === undefined) return 0;
    fill(rate);
    const missing = ahead + 1 - tokens;
    if (missing <= tolerance) return 0;
    return (missing / rate) * millisecondsPerSecond;
  }

  /** Adds a call to the average rate of offered calls. */
  function updateDemand(): void {
    const now = timers.now();
    demand *= Math.exp((demandAt - now) / demandTime);
    demand += millisecondsPerSecond / demandTime;
    demandAt = now;
  }

  /** Moves the share so that entries offer about as many calls as the limit. */
  function adjustShare(limit: number): void {
    const now = timers.now();
    if (now - shareAdjustedAt < sharePeriod) return;
    shareAdjustedAt = now;
    const wanted = Math.sqrt(limit / demand);
    const step = clamp(wanted, 1 / maxShareStep, maxShareStep);
    share = clamp(share * step, minShare, 1);
  }

  function notifyObservers(): void {
    wakeUp?.cancel();
    wakeUp = undefined;
    for (const observe of observers) observe();
  }

  return {
    get rate() {
      return rate;
    },
    setRate(named) {
      const next = named === undefined ? undefined : Math.max(named, minRate);
      if (next === rate) return;
      if (rate !== undefined) fill(rate);
      // A new limit begins with a single token: how many calls the upstream got
      // just before is not known.
      else {
        tokens = 1;
        share = 1;
      }
      filledAt = timers.now();
      rate = next;
      size = Math.max(1, (next ?? 0) * burst);
      tokens = Math.min(size, tokens);
      notifyObservers();
    },
    wait,
    get share() {
      return rate === undefined ? 1 : share;
    },
    offered() {
      updateDemand();
      if (rate !== undefined) adjustShare(rate);
    },
    take() {
      if (rate === undefined) return;
      fill(rate);
      tokens -= 1;
    },
    giveBack() {
      if (rate === undefined) return;
      tokens = Math.min(size, tokens + 1);
    },
    load(waiting) {
      if (rate === undefined) return 0;
      fill(rate);
      return (size - tokens + waiting) / size;
    },
    requestToken() {
      if (wakeUp !== undefined) return;
      wakeUp = timers.after(Math.ceil(wait(0)), notifyObservers);
    },
    onToken: observe => void observers.push(observe),
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
