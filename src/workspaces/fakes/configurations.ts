import {emptyConfiguration} from '../../configuration/configuration.js';
import type {
  Configuration,
  Route,
  Workspace,
} from '../../configuration/configuration.js';
import {digestOfKey} from '../key-digest.js';

/** A workspace with these keys; `changes` override the defaults. */
export function workspaceOf(
  name: string,
  keys: readonly string[],
  changes: Partial<Workspace> = {},
): Workspace {
  return {name, keys: keys.map(digestOfKey), ...changes};
}

/** A keyed route. */
export const keyedRoute: Route = {
  name: 'keyed',
  prefix: '/keyed',
  methods: [],
  service: 'stock-desk',
  policy: 'lookups',
  access: 'keyed',
};

/** A route that is open to all. */
export const openRoute: Route = {
  name: 'open',
  prefix: '/open',
  methods: [],
  service: 'stock-desk',
  policy: 'lookups',
};

/** A configuration with both routes and these workspaces. */
export function workspacesOf(
  ...workspaces: readonly Workspace[]
): Configuration {
  return {
    ...emptyConfiguration,
    version: 1,
    routes: new Map([keyedRoute, openRoute].map(route => [route.name, route])),
    workspaces: new Map(workspaces.map(each => [each.name, each])),
  };
}
