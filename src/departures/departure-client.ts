/** Asks a home about departures. */
import type {Departure} from '../configuration/departures.js';
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';
import {DepartureStore} from './departure-store.js';
import {parseReply} from './messages.js';
import type {Question, Reply} from './messages.js';

/** Options of `createDepartureClient`. */
export interface DepartureClientOptions {
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
}

/** The departures as kept by the control group, reached through a home. */
export abstract class DepartureClient extends DepartureStore {
  /** Asks over this link from now on. */
  abstract attach(channels: Channels): void;
}

/**
 * Milliseconds until a question without a reply fails. An upstream whose message
 * is not acknowledged within a second gives it up.
 */
const questionTimeout = 800;

/** Bounds of the delay until a question is sent again, in milliseconds. */
const resendDelay = {least: 200, most: 600};

interface Pending {
  readonly question: Question;
  readonly resolve: (reply: Reply | undefined) => void;
  readonly timer: Subscription;
}

/** Creates a client without a link; questions wait for one. */
export function createDepartureClient(
  options: DepartureClientOptions,
): DepartureClient {
  const {timers, random} = options;
  const log = options.log.scope('departures');
  const pending = new Map<number, Pending>();
  let channel: Channel | undefined;
  const servedObservers: Array<() => void> = [];
  let isServed = false;
  let lastNumber = 0;
  let resendTimer: Subscription | undefined;
  /** Whether the last question failed; logged once when that begins. */
  let isFailing = false;

  function settle(number: number, reply: Reply | undefined): void {
    const entry = pending.get(number);
    if (entry === undefined) return;
    pending.delete(number);
    entry.timer.cancel();
    if (pending.size === 0) resendTimer?.cancel();
    entry.resolve(reply);
  }

  function logFailure(kind: Question['kind']): void {
    if (!isFailing) log.warn('no reply about departures', {kind});
    isFailing = true;
  }

  function ask(question: Question): Promise<Reply | undefined> {
    const {kind, number} = question;
    return new Promise(resolve => {
      const timer = timers.after(questionTimeout, () => {
        if (channel !== undefined) logFailure(kind);
        settle(number, undefined);
      });
      pending.set(number, {question, resolve, timer});
      channel?.send(question);
      if (pending.size === 1) scheduleResend();
    });
  }

  function scheduleResend(): void {
    resendTimer?.cancel();
    const {least, most} = resendDelay;
    const delay = least + random.fraction() * (most - least);
    resendTimer = timers.after(delay, resend);
  }

  function resend(): void {
    for (const {question} of pending.values()) channel?.send(question);
    if (pending.size > 0) scheduleResend();
  }

  function receive(body: unknown): void {
    const reply = parseReply(body);
    if (reply === undefined) log.warn('reply about departures refused');
    else if (reply.kind === 'ready') serve();
    else {
      isFailing = false;
      settle(reply.number, reply);
    }
  }

  function serve(): void {
    isServed = true;
    for (const observe of servedObservers) observe();
  }

  function attach(channels: Channels): void {
    const opened = channels.on('departures');
    channel = opened;
    isServed = false;
    opened.onMessage(body => {
      if (channel === opened) receive(body);
    });
    channels.onClose(() => {
      if (channel !== opened) return;
      channel = undefined;
      isServed = false;
    });
    resend();
  }

  return new (class extends DepartureClient {
    attach = attach;

    isServed(): boolean {
      return isServed;
    }

    onServed(observe: () => void): void {
      servedObservers.push(observe);
    }

    async record(departure: Departure): Promise<boolean> {
      const number = ++lastNumber;
      const reply = await ask({kind: 'record', number, departure});
      return reply?.kind === 'recorded';
    }

    async recall(instance: string): Promise<readonly Departure[] | undefined> {
      const number = ++lastNumber;
      const reply = await ask({kind: 'recall', number, instance});
      return reply?.kind === 'recalled' ? reply.departures : undefined;
    }
  })();
}
