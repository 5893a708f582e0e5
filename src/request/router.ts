/** Which route takes a request. */
import type {
  Configuration,
  Policy,
  Route,
} from '../configuration/configuration.js';
import type {Code} from '../result/code.js';
import {requestCodes} from './codes.js';

/** The route that takes a request, with its policy. */
export interface Match {
  readonly route: Route;
  readonly policy: Policy;
}

/** Finds routes in one configuration. */
export interface Router {
  /** The match, or the code that tells why there is none. */
  match(method: string, path: string): Match | Code;
}

/** Whether a router found a match. */
export function isMatch(found: Match | Code): found is Match {
  return 'route' in found;
}

/** Creates the router of one configuration. */
export function createRouter(configuration: Configuration): Router {
  const matches = [...configuration.routes.values()]
    .flatMap(route => {
      const policy = configuration.policies.get(route.policy);
      const known = configuration.services.has(route.service);
      // A route without its service or policy can only come from a fault
      // before this node; it must not send work into the void.
      return policy !== undefined && known ? [{route, policy}] : [];
    })
    .sort(byPreference);

  return {
    match: (method, path) => {
      let code: Code = requestCodes.noRoute;
      const bare = withoutQuery(path);
      for (const match of matches) {
        if (!hasPrefix(bare, match.route.prefix)) continue;
        if (takes(match.route, method)) return match;
        code = requestCodes.methodNotAllowed;
      }
      return code;
    },
  };
}

/** Longest prefix first, then routes for named methods, then by name. */
function byPreference(left: Match, right: Match): number {
  const length = right.route.prefix.length - left.route.prefix.length;
  if (length !== 0) return length;
  const named = countOf(right.route) - countOf(left.route);
  if (named !== 0) return named;
  return left.route.name < right.route.name ? -1 : 1;
}

function countOf(route: Route): number {
  return route.methods.length > 0 ? 1 : 0;
}

function takes(route: Route, method: string): boolean {
  return route.methods.length === 0 || route.methods.includes(method);
}

/** A prefix ends at a segment's end: `/stock` does not take `/stockpile`. */
function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (path.length === prefix.length || prefix.endsWith('/')) return true;
  return path[prefix.length] === '/';
}

function withoutQuery(path: string): string {
  const mark = path.indexOf('?');
  return mark < 0 ? path : path.slice(0, mark);
}
