/** Which route takes a caller's request, or why none does. */
import type {IncomingMessage} from 'node:http';
import {isBeforeFirstChange} from '../configuration/configuration.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import {requestCodes} from './messages/codes.js';
import {findFault} from './transport/inspection.js';
import type {Refusal} from './messages/call.js';
import {noConfiguration, refusal} from './messages/refusal.js';
import {createRouter, isMatch} from './decisions/router.js';
import type {Match, Router} from './decisions/router.js';

/** Options of `createRouteFinder`. */
export interface RouteFinderOptions {
  /** The configuration in force, undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  /** Whether that is confirmed of late as the newest; true unless given. */
  readonly isConfirmed?: (() => boolean) | undefined;
  readonly random: Random;
}

/** A route, and the configuration that it stands in. */
export interface FoundRoute {
  readonly match: Match;
  readonly configuration: Configuration;
}

/** Finds the route of a request. */
export type RouteFinder = (
  request: IncomingMessage,
) => FoundRoute | {readonly refused: Refusal};

/** Seconds in which a node finds another home that a quorum confirms. */
const unsureRetryAfter = 1;

/** Creates a finder that follows the configuration in force. */
export function createRouteFinder(options: RouteFinderOptions): RouteFinder {
  const {random} = options;
  const routerOf = createRouterCache();

  /**
   * A node that is cut off from the quorum may lack a route that was accepted
   * since. Its `no-route` would be believed and the request given up for good.
   */
  function refuseUnmatched(code: Code): Refusal {
    const isSure = options.isConfirmed?.() ?? true;
    if (isSure || code !== requestCodes.noRoute) return refusal(code);
    return refusal(requestCodes.routeUnsure, undefined, unsureRetryAfter);
  }

  return request => {
    const fault = findFault(request);
    if (fault !== undefined) {
      return {refused: refusal(requestCodes.badRequest, fault)};
    }
    const configuration = options.configuration();
    // Its `no-route` would be believed for routes that are about to come.
    if (configuration === undefined || isBeforeFirstChange(configuration)) {
      return {refused: noConfiguration()};
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
