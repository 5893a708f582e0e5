import {createTRPCClient, httpLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import type {Kind} from '../configuration/configuration.js';
import type {Answer, Command} from '../configuration/messages.js';
import type {Member} from '../consensus/consensus.js';
import type {Address} from '../link/link.js';
import type {Effect} from '../result/code.js';
import type {Timers} from '../time/timers.js';
import {
  toRefusal,
  toTimeoutRefusal,
  isTransient,
  toFinalRefusal,
} from './client-refusals.js';
import {createFetch} from './fetch.js';
import type {
  ControlView,
  History,
  InForceStatus,
  Items,
  Reply,
  WaitResult,
} from './messages.js';
import {maxWait} from './router.js';
import type {OperatorRouter} from './router.js';

/** Options of createOperatorClient. */
export interface OperatorClientOptions {
  /**
   * Operators' addresses of control processes, in the order in which they are
   * tried.
   */
  readonly addresses: readonly Address[];
  readonly token?: string;
  readonly timers: Timers;
  /**
   * Milliseconds after which a request without an answer is sent to another
   * process.
   */
  readonly attemptTimeout?: number;
  /** Milliseconds after which the client gives up. */
  readonly timeout?: number;
}

/** The answer to a change, with how it was obtained. */
export interface ClientAnswer extends Answer {
  /** Whether an earlier attempt, whose answer was lost, may have run. */
  readonly isResent: boolean;
}

/**
 * Client of the control group; each call is retried until it is answered or
 * times out.
 */
export interface OperatorClient {
  /** Resends the command under its id until it is answered. */
  change(command: Command): Promise<Reply<ClientAnswer>>;
  items(kind: Kind, name?: string): Promise<Reply<Items>>;
  history(count: number): Promise<Reply<History>>;
  inForce(): Promise<Reply<InForceStatus>>;
  wait(version: number, within: number): Promise<Reply<WaitResult>>;
  /**
   * Returns the group as each process sees it, in the order of the addresses.
   */
  control(): Promise<readonly Reply<ControlView>[]>;
  replace(leaving: string, joining: Member): Promise<Reply<null>>;
  acceptLoss(service: string): Promise<Reply<Answer>>;
  /** Closes the connections after the pending calls have ended. */
  close(): Promise<void>;
}

type Api = TRPCClient<OperatorRouter>;

/** A call and the rules for its retries. */
interface Call<T> {
  readonly run: (api: Api, signal: AbortSignal) => Promise<Reply<T>>;
  /**
   * `always`: for queries, and commands whose id makes a resend safe.
   * `not-run`: resend only if the call certainly did not run.
   */
  readonly resend: 'always' | 'not-run';
  /** Effect to report if an attempt may have run and no answer arrives. */
  readonly effect: Effect;
  /** Called when an attempt may have run and its answer was lost. */
  readonly onLost?: () => void;
  /** Timeout of one attempt in milliseconds; by default that of the client. */
  readonly limit?: number;
}

/**
 * Minimum timeout of an attempt in milliseconds, also close to the deadline.
 */
const minAttemptTimeout = 50;

/** Delay between two rounds over all addresses, in milliseconds. */
export const roundDelay = 100;

/** Creates a client that can use several control processes. */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const {timers, attemptTimeout = 3000, timeout = 10_000} = options;
  const agent = new Agent();
  const apis = new Map<Address, Api>();
  let preferred = options.addresses[0]!;

  function apiAt(address: Address): Api {
    const api = apis.get(address) ?? createApi(address, agent, options.token);
    apis.set(address, api);
    return api;
  }

  async function attempt<T>(
    address: Address,
    call: Call<T>,
    limit: number,
  ): Promise<Reply<T>> {
    const controller = new AbortController();
    const timer = timers.after(limit, () => controller.abort());
    try {
      return await call.run(apiAt(address), controller.signal);
    } catch (error) {
      return {ok: false, refusal: toRefusal(address, error as Error)};
    } finally {
      timer.cancel();
    }
  }

  async function callUntilAnswered<T>(
    call: Call<T>,
    extra = 0,
  ): Promise<Reply<T>> {
    const deadline = timers.now() + timeout + extra;
    const {limit = attemptTimeout} = call;
    let effect: Effect = 'not-run';
    for (let attempts = 1; ; attempts++) {
      const timeLeft = Math.max(minAttemptTimeout, deadline - timers.now());
      const reply = await attempt(
        preferred,
        call,
        Math.min(limit + extra, timeLeft),
      );
      if (reply.ok) return reply;
      if (!isTransient(reply.refusal))
        return toFinalRefusal(reply.refusal, effect);
      if (reply.refusal.effect === 'unknown') {
        effect = call.effect;
        call.onLost?.();
      }
      if (effect === 'unknown' && call.resend === 'not-run') return reply;
      if (timers.now() >= deadline)
        return toTimeoutRefusal(reply.refusal, effect);
      preferred = reply.refusal.leader ?? nextAddress(preferred);
      if (attempts % options.addresses.length === 0) await pause();
    }
  }

  function nextAddress(address: Address): Address {
    const next = options.addresses.indexOf(address) + 1;
    return options.addresses[next % options.addresses.length]!;
  }

  function pause(): Promise<void> {
    return new Promise(resolve => void timers.after(roundDelay, resolve));
  }

  function query<T>(run: Call<T>['run'], extra?: number): Promise<Reply<T>> {
    return callUntilAnswered({run, resend: 'always', effect: 'not-run'}, extra);
  }

  async function wait(
    version: number,
    within: number,
  ): Promise<Reply<WaitResult>> {
    const deadline = timers.now() + within;
    for (;;) {
      const timeLeft = Math.max(0, deadline - timers.now());
      const input = {version, within: Math.min(timeLeft, maxWait)};
      const reply = await query(
        async (api, signal) => toReply(await api.wait.query(input, {signal})),
        input.within,
      );
      if (!reply.ok || reply.value.inForce) return reply;
      if (timers.now() >= deadline) return reply;
    }
  }

  function control(): Promise<Reply<ControlView>[]> {
    const call: Call<ControlView> = {
      run: async (api, signal) =>
        toReply(await api.control.query(undefined, {signal})),
      resend: 'not-run',
      effect: 'not-run',
    };
    return Promise.all(
      options.addresses.map(address => attempt(address, call, attemptTimeout)),
    );
  }

  async function change(command: Command): Promise<Reply<ClientAnswer>> {
    let isResent = false;
    const reply = await callUntilAnswered<Answer>({
      run: (api, signal) => api.change.mutate(command, {signal}),
      resend: 'always',
      effect: 'unknown',
      onLost: () => {
        isResent = true;
      },
    });
    if (!reply.ok) return reply;
    return {ok: true, value: {...reply.value, isResent}};
  }

  return {
    change,
    items: (kind, name) =>
      query((api, signal) => api.items.query({kind, name}, {signal})),
    history: count =>
      query((api, signal) => api.history.query({count}, {signal})),
    inForce: () =>
      query(async (api, signal) =>
        toReply(await api.inForce.query(undefined, {signal})),
      ),
    wait,
    control,
    replace: (leaving, joining) =>
      callUntilAnswered({
        run: (api, signal) => api.replace.mutate({leaving, joining}, {signal}),
        resend: 'not-run',
        effect: 'unknown',
      }),
    acceptLoss: service =>
      callUntilAnswered({
        run: (api, signal) => api.acceptLoss.mutate({service}, {signal}),
        resend: 'not-run',
        effect: 'unknown',
      }),
    close: () => agent.close(),
  };
}

function createApi(
  address: Address,
  agent: Dispatcher,
  token: string | undefined,
): Api {
  const headers = token === undefined ? {} : {authorization: `Bearer ${token}`};
  return createTRPCClient<OperatorRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        headers,
        fetch: createFetch(agent),
      }),
    ],
  });
}

function toReply<T>(value: T): Reply<T> {
  return {ok: true, value};
}
