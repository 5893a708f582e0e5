/**
 * The entry: takes requests from callers, finds their route and sends them to
 * the gate of an instance. It decides with what is in memory; neither control
 * nor relays need to be up.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Configuration} from '../configuration/configuration.js';
import type {EndpointView} from '../endpoints/messages.js';
import type {Address} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import type {Answer} from './answer.js';
import {createAttempts} from './attempts.js';
import type {Attempts} from './attempts.js';
import {createPowerOfTwoBalancer} from './balancer.js';
import type {Balancer} from './balancer.js';
import {requestCodes} from './codes.js';
import {createExchange} from './exchange.js';
import {createGateLinks} from './gate-link.js';
import type {Gate} from './gate.js';
import {endToEnd, headerNames} from './headers.js';
import {findFault} from './inspection.js';
import {createListener} from './listener.js';
import type {Call, Outcome, Refusal} from './messages.js';
import {createPeers} from './peers.js';
import type {PeersOptions} from './peers.js';
import {refusal, refusalOf} from './refusal.js';
import {createRouter, isMatch} from './router.js';
import type {Match, Router} from './router.js';
import {resolveSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';
import {receiveUpload} from './upload.js';
import type {Upload} from './upload.js';

/** Options of `createEntry`; times in milliseconds, sizes in bytes. */
export interface EntryOptions {
  /** The node's name; begins the ids of its requests. */
  readonly name: string;
  readonly failureDomain: string;
  /** Where callers reach it. */
  readonly address: Address;
  /** The configuration in force, undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  readonly endpoints: EndpointView;
  /** The gate of the upstream beside it. */
  readonly gate?: Gate;
  /** Largest head of a request. */
  readonly headerLimit: number;
  /** Largest body of a request, whatever its policy allows. */
  readonly bodyLimit: number;
  /** Longest pause in a body; 10000 unless given. */
  readonly bodyIdle?: number;
  /** How long a stop serves what keep-alive callers still send; 500 unless given. */
  readonly grace?: number;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** The balancing rule; power of two choices unless given. */
  readonly balancer?: Balancer;
  /** Choices about instances, with their own defaults. */
  readonly peers?: Pick<
    PeersOptions,
    | 'localLimit'
    | 'loadAge'
    | 'leavingPause'
    | 'ejection'
    | 'retryBudget'
    | 'onUnreachable'
  >;
  /** Test only. */
  readonly safeguards?: Partial<Safeguards>;
  /** Hears of each request that ended. */
  readonly onOutcome?: (outcome: Outcome) => void;
}

/** Takes requests from callers. */
export interface Entry {
  readonly address: Address;
  listen(): Promise<void>;
  /** Finishes what runs, within `deadline`; callers are told to go elsewhere. */
  stop(deadline: number): Promise<void>;
}

const defaultBodyIdle = 10_000;

/** Creates an entry that does not listen yet. */
export function createEntry(options: EntryOptions): Entry {
  const {timers, random} = options;
  const safeguards = resolveSafeguards(options.safeguards);
  const links = createGateLinks({timers, safeguards});
  const peers = createPeers({
    ...options.peers,
    failureDomain: options.failureDomain,
    endpoints: options.endpoints,
    balancer: options.balancer ?? createPowerOfTwoBalancer(random),
    timers,
  });
  const listener = createListener({
    address: options.address,
    headerLimit: options.headerLimit,
    grace: options.grace,
    timers,
    handle,
  });
  const nextId = createIds(options.name, random);
  const routerOf = createRouterCache();

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange = createExchange(request, response, {
      listener,
      timers,
      safeguards,
      onOutcome: options.onOutcome,
    });
    const {answer} = exchange;
    const found = route(request);
    if ('refused' in found) return answer.refuse(found.refused);
    const {match, configuration} = found;
    exchange.matched(match);
    const deadline = timers.now() + allowedTime(request, match);
    const upload = await receive(request, match, deadline, answer);
    if (upload === undefined || response.destroyed) return;
    exchange.receives(upload);
    const call = makeCall(request, match, upload, deadline);
    const attempts: Attempts = createAttempts({
      call,
      match,
      configuration,
      answer,
      peers,
      links,
      gate: options.gate,
      timers,
      once: safeguards.once,
    });
    exchange.attempted(attempts);
    attempts.start();
  }

  function route(
    request: IncomingMessage,
  ): {refused: Refusal} | {match: Match; configuration: Configuration} {
    const fault = findFault(request);
    if (fault !== undefined) {
      return {refused: refusal(requestCodes.badRequest, fault)};
    }
    const configuration = options.configuration();
    if (configuration === undefined) {
      return {refused: refusal(requestCodes.noConfiguration)};
    }
    const match = routerOf(configuration).match(request.method!, request.url!);
    if (!isMatch(match)) return {refused: refusal(match)};
    return {match, configuration};
  }

  async function receive(
    request: IncomingMessage,
    match: Match,
    deadline: number,
    answer: Answer,
  ): Promise<Upload | undefined> {
    try {
      return await receiveUpload(request, {
        limit: Math.min(match.policy.bodyLimit, options.bodyLimit),
        idle: options.bodyIdle ?? defaultBodyIdle,
        deadline,
        timers,
        safeguards,
      });
    } catch (error) {
      answer.refuse(refusalOf(error));
      return undefined;
    }
  }

  function makeCall(
    request: IncomingMessage,
    match: Match,
    body: Upload,
    deadline: number,
  ): Call {
    return {
      id: nextId(),
      service: match.route.service,
      method: request.method!,
      path: request.url!,
      headers: endToEnd(request.rawHeaders, safeguards.internalHeaders),
      body,
      priority: match.policy.priority,
      repeatability: match.policy.repeatability,
      key: request.headers[headerNames.key] as string | undefined,
      deadline,
    };
  }

  return {
    get address() {
      return listener.address;
    },
    listen: () => listener.listen(),
    stop: async deadline => {
      await listener.stop(deadline);
      await links.close();
    },
  };
}

/** The policy's deadline, or the caller's own where it is shorter. */
function allowedTime(request: IncomingMessage, match: Match): number {
  const asked = Number(request.headers[headerNames.timeout] ?? Infinity);
  return Math.min(asked, match.policy.deadline);
}

/** Ids that no other process or life of this one makes. */
function createIds(name: string, random: Random): () => string {
  const life = random.integer(2 ** 31).toString(36);
  let count = 0;
  return () => `${name}-${life}-${(count++).toString(36)}`;
}

/** Keeps the router of the newest configuration. */
function createRouterCache(): (configuration: Configuration) => Router {
  let cached: Configuration | undefined;
  let router: Router | undefined;
  return configuration => {
    if (router === undefined || cached !== configuration) {
      cached = configuration;
      router = createRouter(configuration);
    }
    return router;
  };
}
