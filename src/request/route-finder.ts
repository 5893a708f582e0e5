/** Finds the route of a caller's request, or the reason why there is none. */
import type {IncomingMessage} from 'node:http';
import {isBeforeFirstChange} from '../configuration/configuration.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import {requestCodes} from './messages/codes.js';
import {findFault} from './transport/inspection.js';
import type {Refusal} from './messages/call.js';
import {noConfigurationRefusal, createRefusal} from './messages/refusal.js';
import {createRouter, isMatch} from './decisions/router.js';
import type {RouteMatch, Router} from './decisions/router.js';

/** Options of `createRouteFinder`. */
export interface RouteFinderOptions {
  /** The configuration in force; undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  /**
   * Whether the configuration in force was recently confirmed as the newest;
   * defaults to true.
   */
  readonly isConfirmed?: (() => boolean) | undefined;
  readonly random: Random;
}

/** A route, and the configuration that it belongs to. */
export interface FoundRoute {
  readonly match: RouteMatch;
  readonly configuration: Configuration;
}

/** Finds the route of a request. */
export type RouteFinder = (
  request: IncomingMessage,
) => FoundRoute | {readonly refused: Refusal};

/** Seconds within which a node finds another home that a quorum confirms. */
const unsureRetryAfter = 1;

/** Creates a route finder that always uses the configuration in force. */
export function createRouteFinder(options: RouteFinderOptions): RouteFinder {
  const {random} = options;
  const routerOf = createRouterCache();

  /**
   * A node that is cut off from the quorum may lack a route that was accepted
   * meanwhile. A caller that received `no-route` would not retry, so the answer
   * is `route-unsure` until the configuration is confirmed.
   */
  function refuseUnmatched(code: Code): Refusal {
    const isConfirmed = options.isConfirmed?.() ?? true;
    if (isConfirmed || code !== requestCodes.noRoute)
      return createRefusal(code);
    return createRefusal(requestCodes.routeUnsure, undefined, unsureRetryAfter);
  }

  return request => {
    const fault = findFault(request);
    if (fault !== undefined) {
      return {refused: createRefusal(requestCodes.badRequest, fault)};
    }
    const configuration = options.configuration();
    // Before the first configuration, `no-route` would make callers give up on
    // routes that are about to be configured.
    if (configuration === undefined || isBeforeFirstChange(configuration)) {
      return {refused: noConfigurationRefusal()};
    }
    const match = routerOf(configuration).match({
      method: request.method!,
      path: request.url!,
      host: request.headers.host,
      draw: random.fraction(),
    });
    if (!isMatch(match)) return {refused: refuseUnmatched(match)};
    return {match, configuration};
  };
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
